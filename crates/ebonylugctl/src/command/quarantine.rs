use ebonylug_core::Fingerprint;

use crate::api::ApiClient;
use crate::arguments::Quarantine;
use crate::output::Format;
use crate::{Console, Error, Outcome, Result};

/// Lists the quarantine or releases a fingerprint from it.
pub async fn run(
    api: &ApiClient,
    command: &Quarantine,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    match command {
        Quarantine::List(list) => {
            let quarantined = api.quarantined().await?;
            if list.output == Format::Json {
                console.json(&quarantined)?;
                return Ok(Outcome::Done);
            }
            for fingerprint in &quarantined.quarantined {
                console.line(fingerprint)?;
            }
            Ok(Outcome::Done)
        }
        Quarantine::Release(release) => self::release(api, release.fingerprint, console).await,
    }
}

/// Releases a fingerprint. Rejects one that is not in quarantine, since it is most likely mistyped.
async fn release(
    api: &ApiClient,
    fingerprint: Fingerprint,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let before = api.quarantined().await?;
    if !before.quarantined.contains(&fingerprint) {
        return Err(Error::invalid_input(format!(
            "{fingerprint} is not in quarantine"
        )));
    }
    api.release(fingerprint).await?;
    console.line(format_args!("{fingerprint} is released"))?;
    Ok(Outcome::Done)
}
