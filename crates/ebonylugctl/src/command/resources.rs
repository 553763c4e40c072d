use ebonylug_resource::parse_resources;

use crate::api::{ApiClient, Mode, ResourceList};
use crate::arguments::{Apply, Delete, Get};
use crate::output::{Format, table};
use crate::{Console, Error, Outcome, Result};

/// Prints one resource, or all resources of a kind.
pub async fn get(api: &ApiClient, get: &Get, console: &mut Console<'_>) -> Result<Outcome> {
    let Some(name) = &get.name else {
        let list = api.list(get.kind).await?;
        match get.output {
            Format::Text => console.text(&table::resources(get.kind, &list.items))?,
            Format::Json => console.json(&list)?,
        }
        return Ok(Outcome::Done);
    };
    let resource = api.get(get.kind, name).await?;
    match get.output {
        Format::Text => console.text(&table::resources(get.kind, &[resource]))?,
        Format::Json => console.json(&resource)?,
    }
    Ok(Outcome::Done)
}

/// Creates or replaces the resources in a file.
pub async fn apply(api: &ApiClient, apply: &Apply, console: &mut Console<'_>) -> Result<Outcome> {
    let text = read(apply, console)?;
    // The entry also parses the text, but its errors cannot contain the file name.
    let malformed =
        |detail: &str| Error::invalid_input(format!("{}: {detail}", apply.file.display()));
    let resources = parse_resources(&text).map_err(|problem| malformed(&problem.detail))?;
    if resources.is_empty() {
        return Err(malformed("there is no resource"));
    }
    let list = api.apply(text, Mode::of(apply.dry_run)).await?;
    show(&list, apply, console)?;
    Ok(Outcome::Done)
}

fn read(apply: &Apply, console: &mut Console<'_>) -> Result<String> {
    let read = if apply.file.as_os_str() == "-" {
        let mut text = String::new();
        console.input.read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(&apply.file)
    };
    read.map_err(|error| Error::invalid_input(format!("{}: {error}", apply.file.display())))
}

fn show(list: &ResourceList, apply: &Apply, console: &mut Console<'_>) -> Result<()> {
    if apply.output == Format::Json {
        return console.json(list);
    }
    for item in &list.items {
        let (kind, name) = (item.kind(), item.name());
        let revision = item.metadata().revision;
        if apply.dry_run {
            console.line(format_args!("{kind}/{name}: valid, not published"))?;
        } else if revision < list.revision {
            console.line(format_args!(
                "{kind}/{name}: unchanged, revision {revision}"
            ))?;
        } else {
            console.line(format_args!("{kind}/{name}: revision {revision}"))?;
        }
    }
    Ok(())
}

/// Deletes a resource.
pub async fn delete(
    api: &ApiClient,
    delete: &Delete,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let (kind, name) = (delete.kind, &delete.name);
    api.delete(kind, name, Mode::of(delete.dry_run)).await?;
    match delete.dry_run {
        true => console.line(format_args!("{kind}/{name}: may be deleted, not published"))?,
        false => console.line(format_args!("{kind}/{name}: deleted"))?,
    }
    Ok(Outcome::Done)
}
