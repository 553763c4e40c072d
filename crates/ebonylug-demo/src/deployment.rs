use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use ebonylug_core::{Clock, Incarnation, Name, SystemClock};
use ebonylug_entry::{Entry, Operator, Role};
use ebonylug_net::key::SharedKey;
use ebonylug_platform::{InstanceRow, InstanceState};
use ebonylug_resource::{
    Change, Document, TargetKind, TargetSpec, TokenHash, VersionSpec, parse_resources,
};
use ebonylug_sidecar::Sidecar;
use ebonylug_standin::{
    Engine, EngineSettings, Platform, PlatformSettings, Service, ServiceSettings,
};

/// The bearer token of the demo's operator.
pub const OPERATOR_TOKEN: &str = "operator-demo-token";
/// The shared key of the demo's processes.
const KEY: &str = "demo key, not a secret";
/// Time for all processes to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Any error of the demo.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
/// The result of a step of the demo.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A target, as the fake that stands for it.
pub enum Fake {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Service(Service),
}

/// A target with its sidecar.
pub struct Node {
    /// The target.
    pub fake: Fake,
    /// Its sidecar, unless it was stopped.
    pub sidecar: Option<Sidecar>,
    /// The instance list's line.
    pub row: InstanceRow,
}

/// How a deployment is started.
pub struct DeploymentOptions<'a> {
    /// The resources, in JSON with comments.
    pub resources: &'a str,
    /// The number of entries.
    pub entries: usize,
    /// The settings of an engine, by the name of its target.
    pub engine_settings: fn(&Name) -> EngineSettings,
    /// Changes the settings of each sidecar.
    pub configure_sidecar: fn(&mut ebonylug_sidecar::Settings),
    /// The seed of all random numbers.
    pub seed: u64,
}

/// A whole deployment on loopback in one process: platform, targets, sidecars and entries.
pub struct Deployment {
    /// The platform's stand-in.
    pub platform: Platform,
    /// Targets with their sidecars, by name.
    pub nodes: BTreeMap<Name, Node>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The configuration as it was first published.
    pub document: Document,
}

impl Deployment {
    /// Starts everything and waits until every entry is ready.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot start, or is not ready in time.
    pub async fn start(options: DeploymentOptions<'_>) -> Result<Self> {
        let document =
            Document::empty().apply(&Change::put_all(parse_resources(options.resources)?))?;
        let platform = Platform::start(PlatformSettings::default())?;
        publish(&platform, &document, options.resources).await?;
        let mut nodes = BTreeMap::new();
        for (index, target) in document.all::<TargetSpec>().values().enumerate() {
            let version = document.get::<VersionSpec>(target.spec.version.as_str());
            let model = version.map_or("", |version| version.spec.serves.as_str());
            let fake = fake(&options, target.name(), &target.spec, model)?;
            let seed = options.seed.wrapping_add(index as u64 + 1);
            let node = node(&options, target.name(), &target.spec, fake, seed).await?;
            nodes.insert(target.name().clone(), node);
        }
        let mut deployment = Deployment {
            platform,
            nodes,
            entries: Vec::new(),
            document,
        };
        deployment.list();
        for index in 0..options.entries {
            deployment
                .add_entry(index, options.seed.wrapping_add(1_000 + index as u64))
                .await?;
        }
        deployment.list();
        deployment.ready().await?;
        Ok(deployment)
    }

    /// Returns the address of an entry.
    #[must_use]
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        self.entries[index].address()
    }

    /// Brings the platform's instance list up to date.
    pub fn list(&self) {
        let mut rows: Vec<InstanceRow> = self.nodes.values().map(|node| node.row.clone()).collect();
        rows.extend(self.entries.iter().map(Entry::instance_row));
        self.platform.set_instances(rows);
    }

    /// Starts one more entry and adds it to the instance list, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot start.
    pub async fn start_entry(&mut self, index: usize, seed: u64) -> Result<()> {
        self.add_entry(index, seed).await?;
        self.list();
        Ok(())
    }

    async fn add_entry(&mut self, index: usize, seed: u64) -> Result<()> {
        let zones: Vec<&Name> = self
            .document
            .all::<ebonylug_resource::AvailabilityZoneSpec>()
            .keys()
            .collect();
        let settings = ebonylug_entry::Settings {
            instance: Name::new(&format!("entry-{}", index + 1)),
            zone: zones[index % zones.len()].clone(),
            listen: loopback(),
            control: loopback(),
            key: SharedKey::new(KEY),
            platform: self.platform.addr,
            seeds: self.entries.iter().map(Entry::control_address).collect(),
            operators: vec![Operator {
                name: Name::new("demo"),
                token: TokenHash::of(OPERATOR_TOKEN),
                role: Role::Admin,
            }],
            subset: 40,
            lag: Duration::from_millis(100),
            bound: Duration::from_secs(30),
            stall: Duration::from_secs(10),
            workers: 1,
        };
        self.entries
            .push(Entry::start(settings, clock(), seed).await?);
        Ok(())
    }

    /// Waits until every entry has a configuration and has heard of a target.
    async fn ready(&self) -> Result<()> {
        let ready = async {
            while !self.entries.iter().all(Entry::is_ready) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| "the entries were not ready in time".into())
    }
}

/// Any free port of the loopback interface.
fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock)
}

async fn publish(platform: &Platform, document: &Document, resources: &str) -> Result<()> {
    let publisher =
        ebonylug_config::Publisher::new(platform.memory().clone(), Incarnation(u64::MAX));
    let snapshot = publisher
        .publish(&Change::put_all(parse_resources(resources)?))
        .await?;
    debug_assert_eq!(snapshot.revision(), document.revision());
    Ok(())
}

fn fake(
    options: &DeploymentOptions<'_>,
    name: &Name,
    target: &TargetSpec,
    model: &str,
) -> Result<Fake> {
    Ok(match target.kind {
        TargetKind::Model => {
            let mut settings = (options.engine_settings)(name);
            settings.name = name.as_str().into();
            settings.models = vec![model.into()];
            settings.version = target.version.as_str().into();
            Fake::Engine(Engine::start(settings)?)
        }
        TargetKind::Service => Fake::Service(Service::start(ServiceSettings::default())?),
    })
}

async fn node(
    options: &DeploymentOptions<'_>,
    name: &Name,
    target: &TargetSpec,
    fake: Fake,
    seed: u64,
) -> Result<Node> {
    let (address, kind) = match &fake {
        Fake::Engine(engine) => (engine.addr, ebonylug_sidecar::TargetKind::Model),
        Fake::Service(service) => (service.addr, ebonylug_sidecar::TargetKind::Service),
    };
    let mut settings = ebonylug_sidecar::Settings {
        instance: Name::new(&format!("i-{name}")),
        zone: target.zone.clone(),
        target: name.clone(),
        kind,
        address,
        data: loopback(),
        control: loopback(),
        key: SharedKey::new(KEY),
        cold_limit: match kind {
            ebonylug_sidecar::TargetKind::Model => 4_096,
            ebonylug_sidecar::TargetKind::Service => 2,
        },
        cold_attempts: 2,
        ceiling: match kind {
            ebonylug_sidecar::TargetKind::Model => 1 << 17,
            ebonylug_sidecar::TargetKind::Service => 16,
        },
        silence: Duration::from_secs(3),
        lag: Duration::from_millis(100),
        bound: Duration::from_secs(30),
        workers: 1,
    };
    (options.configure_sidecar)(&mut settings);
    let instance = settings.instance.clone();
    let sidecar = Sidecar::start(settings, clock(), seed).await?;
    let row = InstanceRow {
        instance,
        zone: target.zone.clone(),
        state: InstanceState::Live,
        data: sidecar.data_address().to_string().into(),
        control: sidecar.control_address().to_string().into(),
        target: Some(name.clone()),
    };
    Ok(Node {
        fake,
        sidecar: Some(sidecar),
        row,
    })
}
