use ebonylug_core::CrashCause;

use crate::api::ApiClient;
use crate::arguments::Quarantine;
use crate::output::Format;
use crate::{Console, Error, Outcome, Result};

/// Lists the quarantine or releases a cause from it.
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
            for cause in &quarantined.quarantined {
                console.line(cause)?;
            }
            Ok(Outcome::Done)
        }
        Quarantine::Release(release) => self::release(api, release.cause, console).await,
    }
}

/// Releases a cause. Rejects one that is not in quarantine, since it is most likely mistyped.
async fn release(api: &ApiClient, cause: CrashCause, console: &mut Console<'_>) -> Result<Outcome> {
    let before = api.quarantined().await?;
    if !before.quarantined.contains(&cause) {
        return Err(Error::invalid_input(format!(
            "{cause} is not in quarantine"
        )));
    }
    api.release(cause).await?;
    console.line(format_args!("{cause} is released"))?;
    Ok(Outcome::Done)
}
