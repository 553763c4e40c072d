//! The sample settings, which operators copy.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use ebonylug_core::Name;
use ebonylug_demo::FIBRAS;
use ebonylug_net::settings;
use ebonylug_platform::InstanceRow;
use ebonylug_resource::{Change, Document, TargetSpec, TokenHash, VersionSpec, parse_resources};
use ebonylug_standin::{
    Engine, EngineSettings, Platform, PlatformSettings, Service, ServiceSettings, load,
};

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/fibras")
}

/// Returns the sample files whose names start with `prefix`, keyed by the rest of the name.
fn files(prefix: &str) -> BTreeMap<String, PathBuf> {
    let mut found = BTreeMap::new();
    for file in std::fs::read_dir(directory()).expect("the samples exist") {
        let path = file.expect("the directory can be read").path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        if let Some(rest) = name.strip_prefix(prefix) {
            found.insert(rest.to_owned(), path);
        }
    }
    assert!(!found.is_empty(), "{prefix}");
    found
}

/// Loads and checks settings as `ebonylug-entry --check` does.
fn entry(path: &Path) -> ebonylug_entry::Settings {
    let loaded: ebonylug_entry::Settings = settings::load(path).expect("the file is valid");
    loaded.check().expect("the settings are valid");
    loaded
}

/// Loads and checks settings as `ebonylug-sidecar --check` does.
fn sidecar(path: &Path) -> ebonylug_sidecar::Settings {
    let loaded: ebonylug_sidecar::Settings = settings::load(path).expect("the file is valid");
    loaded.check().expect("the settings are valid");
    loaded
}

fn platform() -> PlatformSettings {
    load(&files("standin-")["platform"]).expect("the file is valid")
}

fn row(instance: &Name) -> InstanceRow {
    let rows = platform().instances;
    let found = rows.into_iter().find(|row| row.instance == *instance);
    found.unwrap_or_else(|| panic!("{instance} is not in the instance list"))
}

/// Guards against settings of entries that are not valid, or whose addresses differ from the instance
/// list of the platform.
#[test]
fn entries() {
    let admin = TokenHash::of("operator-demo-token");
    let mut keys = Vec::new();
    for path in files("entry-").values() {
        let loaded = entry(path);
        let row = row(&loaded.instance);
        assert_eq!(row.zone, loaded.zone);
        assert_eq!(*row.data, loaded.listen.to_string());
        assert_eq!(*row.control, loaded.control.to_string());
        assert_eq!(loaded.platform, platform().listen);
        let known = |token| {
            loaded
                .operators
                .iter()
                .find(|operator| operator.token == token)
        };
        assert_eq!(known(admin).unwrap().role, ebonylug_entry::Role::Admin);
        let viewer = known(TokenHash::of("viewer-demo-token")).unwrap();
        assert_eq!(viewer.role, ebonylug_entry::Role::Viewer);
        keys.push(loaded.key.bearer());
    }
    keys.extend(
        files("sidecar-")
            .values()
            .map(|path| sidecar(path).key.bearer()),
    );
    assert!(keys.iter().all(|key| *key == keys[0]), "the keys differ");
}

/// Guards against settings of sidecars that are not valid, or that do not match the instance list, the
/// resources and the fakes.
#[test]
fn sidecars() {
    let resources = parse_resources(FIBRAS).expect("the resources are valid");
    let document = Document::empty()
        .apply(&Change::put_all(resources))
        .expect("the resources are consistent");
    let fakes = files("standin-");
    for (target, path) in files("sidecar-") {
        let loaded = sidecar(&path);
        assert_eq!(loaded.target.as_str(), target);
        let row = row(&loaded.instance);
        assert_eq!(row.zone, loaded.zone);
        assert_eq!(*row.data, loaded.data.to_string());
        assert_eq!(*row.control, loaded.control.to_string());
        assert_eq!(row.target.as_ref(), Some(&loaded.target));
        let resource = document
            .get::<TargetSpec>(&target)
            .expect("the target is declared");
        assert_eq!(resource.spec.zone, loaded.zone);
        let version = document
            .get::<VersionSpec>(resource.spec.version.as_str())
            .unwrap();
        let address = match loaded.kind {
            ebonylug_sidecar::TargetKind::Model => {
                let fake: EngineSettings = load(&fakes[&target]).expect("the file is valid");
                assert_eq!(*fake.version, *version.name().as_str());
                assert!(
                    fake.models
                        .iter()
                        .any(|model| **model == *version.spec.serves.as_str())
                );
                fake.listen
            }
            ebonylug_sidecar::TargetKind::Service => {
                let fake: ServiceSettings = load(&fakes[&target]).expect("the file is valid");
                fake.listen
            }
        };
        assert_eq!(address, loaded.address);
    }
}

/// Guards against two processes with the same address, which fails only when both are started.
#[test]
fn addresses() {
    let mut addresses: Vec<SocketAddr> = vec![platform().listen];
    for path in files("entry-").values() {
        let loaded = entry(path);
        addresses.extend([loaded.listen, loaded.control]);
    }
    for path in files("sidecar-").values() {
        let loaded = sidecar(path);
        addresses.extend([loaded.address, loaded.data, loaded.control]);
    }
    assert!(
        addresses
            .iter()
            .all(|address| address.ip() == Ipv4Addr::LOCALHOST)
    );
    let count = addresses.len();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), count);
}

/// Guards against settings of fakes that are out of range, which are detected only at the start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fakes_start() {
    let any = (Ipv4Addr::LOCALHOST, 0).into();
    for (name, path) in files("standin-") {
        let started = match name.as_str() {
            "platform" => Platform::start(PlatformSettings {
                listen: any,
                ..platform()
            })
            .map(drop),
            "orders-1" => {
                let loaded: ServiceSettings = load(&path).expect("the file is valid");
                Service::start(ServiceSettings {
                    listen: any,
                    ..loaded
                })
                .map(drop)
            }
            _ => {
                let loaded: EngineSettings = load(&path).expect("the file is valid");
                Engine::start(EngineSettings {
                    listen: any,
                    ..loaded
                })
                .map(drop)
            }
        };
        assert!(started.is_ok(), "{name}: {started:?}");
    }
}
