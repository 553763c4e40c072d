use ebonylug_core::Fingerprint;

use crate::api::Api;
use crate::arguments::Quarantine;
use crate::output::Format;
use crate::{Console, Error, Outcome, Result};

/// Shows or changes the quarantine.
pub async fn run(api: &Api, command: &Quarantine, console: &mut Console<'_>) -> Result<Outcome> {
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

/// Releases a fingerprint. One that is not in quarantine is most likely mistyped.
async fn release(
    api: &Api,
    fingerprint: Fingerprint,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let before = api.quarantined().await?;
    if !before.quarantined.contains(&fingerprint) {
        return Err(Error::arguments(format!(
            "{fingerprint} is not in quarantine"
        )));
    }
    api.release(fingerprint).await?;
    console.line(format_args!("{fingerprint} is released"))?;
    Ok(Outcome::Done)
}
