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

/// The bearer token of the operator with the admin role.
pub const OPERATOR_TOKEN: &str = "operator-demo-token";
/// The key that all processes of the demo share.
const SHARED_KEY: &str = "demo key, not a secret";
/// Timeout for all entries to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Any error of the demo.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
/// The result of a step of the demo.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A fake target.
pub enum FakeTarget {
    /// A fake model engine.
    Engine(Engine),
    /// A fake plain service.
    Service(Service),
}

/// A target with its sidecar.
pub struct Node {
    /// The fake target.
    pub fake: FakeTarget,
    /// The sidecar; `None` after it was stopped.
    pub sidecar: Option<Sidecar>,
    /// The row in the instance list.
    pub row: InstanceRow,
    /// The settings of the sidecar.
    settings: ebonylug_sidecar::Settings,
}

impl Node {
    /// Replaces the sidecar by a new one at other addresses, and updates the row. A running sidecar
    /// is stopped as by a crash.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar cannot start.
    pub async fn restart_sidecar(&mut self, seed: u64) -> Result<()> {
        self.sidecar = None;
        let sidecar = Sidecar::start(self.settings.clone(), system_clock(), seed).await?;
        self.row.data = sidecar.data_address().to_string().into();
        self.row.control = sidecar.control_address().to_string().into();
        self.sidecar = Some(sidecar);
        Ok(())
    }
}

/// Options of [`Deployment::start`].
pub struct DeploymentOptions<'a> {
    /// The resources, in JSON5.
    pub resources: &'a str,
    /// The number of entries.
    pub entries: usize,
    /// Returns the settings of an engine for the name of its target.
    pub engine_settings: fn(&Name) -> EngineSettings,
    /// Adjusts the settings of each sidecar.
    pub configure_sidecar: fn(&mut ebonylug_sidecar::Settings),
    /// The seed of all random number generators.
    pub seed: u64,
}

/// A complete deployment on loopback in one process: platform, targets, sidecars and entries.
pub struct Deployment {
    /// The fake platform.
    pub platform: Platform,
    /// Targets with their sidecars, by target name.
    pub nodes: BTreeMap<Name, Node>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The configuration as published at the start.
    pub document: Document,
}

impl Deployment {
    /// Starts all processes and waits until every entry is ready.
    ///
    /// # Errors
    ///
    /// Fails if the resources are not valid, a process cannot start, or an entry is not ready
    /// within 10 s.
    pub async fn start(options: DeploymentOptions<'_>) -> Result<Self> {
        let document =
            Document::empty().apply(&Change::put_all(parse_resources(options.resources)?))?;
        let platform = Platform::start(PlatformSettings::default())?;
        publish(&platform, &document, options.resources).await?;
        let mut nodes = BTreeMap::new();
        for (index, target) in document.all::<TargetSpec>().values().enumerate() {
            let version = document.get::<VersionSpec>(target.spec.version.as_str());
            let model = version.map_or("", |version| version.spec.serves.as_str());
            let fake = start_target(&options, target.name(), &target.spec, model)?;
            let seed = options.seed.wrapping_add(index as u64 + 1);
            let node = start_node(&options, target.name(), &target.spec, fake, seed).await?;
            nodes.insert(target.name().clone(), node);
        }
        let mut deployment = Deployment {
            platform,
            nodes,
            entries: Vec::new(),
            document,
        };
        deployment.update_instance_list();
        for index in 0..options.entries {
            deployment
                .add_entry(index, options.seed.wrapping_add(1_000 + index as u64))
                .await?;
        }
        deployment.update_instance_list();
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the address on which an entry serves callers and operators.
    #[must_use]
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        self.entries[index].address()
    }

    /// Publishes the current targets and entries in the platform's instance list.
    pub fn update_instance_list(&self) {
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
        self.start_entry_with(index, seed, |_| {}).await
    }

    /// Starts one more entry as [`start_entry`](Self::start_entry) does, with adjusted settings.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot start.
    pub async fn start_entry_with(
        &mut self,
        index: usize,
        seed: u64,
        configure: impl FnOnce(&mut ebonylug_entry::Settings),
    ) -> Result<()> {
        let mut settings = self.entry_settings(index);
        configure(&mut settings);
        let entry = Entry::start(settings, system_clock(), seed).await?;
        self.entries.push(entry);
        self.update_instance_list();
        Ok(())
    }

    async fn add_entry(&mut self, index: usize, seed: u64) -> Result<()> {
        let settings = self.entry_settings(index);
        self.entries
            .push(Entry::start(settings, system_clock(), seed).await?);
        Ok(())
    }

    fn entry_settings(&self, index: usize) -> ebonylug_entry::Settings {
        let zones: Vec<&Name> = self
            .document
            .all::<ebonylug_resource::AvailabilityZoneSpec>()
            .keys()
            .collect();
        ebonylug_entry::Settings {
            instance: Name::new(&format!("entry-{}", index + 1)),
            zone: zones[index % zones.len()].clone(),
            listen: loopback_address(),
            control: loopback_address(),
            key: SharedKey::new(SHARED_KEY),
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
        }
    }

    /// Waits until every entry has a configuration and a known target.
    async fn wait_until_ready(&self) -> Result<()> {
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

/// Returns a loopback address whose port is assigned on binding.
fn loopback_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn system_clock() -> Arc<dyn Clock> {
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

fn start_target(
    options: &DeploymentOptions<'_>,
    name: &Name,
    target: &TargetSpec,
    model: &str,
) -> Result<FakeTarget> {
    Ok(match target.kind {
        TargetKind::Model => {
            let mut settings = (options.engine_settings)(name);
            settings.name = name.as_str().into();
            settings.models = vec![model.into()];
            settings.version = target.version.as_str().into();
            FakeTarget::Engine(Engine::start(settings)?)
        }
        TargetKind::Service => FakeTarget::Service(Service::start(ServiceSettings::default())?),
    })
}

async fn start_node(
    options: &DeploymentOptions<'_>,
    name: &Name,
    target: &TargetSpec,
    fake: FakeTarget,
    seed: u64,
) -> Result<Node> {
    let (address, kind) = match &fake {
        FakeTarget::Engine(engine) => (engine.addr, ebonylug_sidecar::TargetKind::Model),
        FakeTarget::Service(service) => (service.addr, ebonylug_sidecar::TargetKind::Service),
    };
    let mut settings = ebonylug_sidecar::Settings {
        instance: Name::new(&format!("i-{name}")),
        zone: target.zone.clone(),
        target: name.clone(),
        kind,
        address,
        data: loopback_address(),
        control: loopback_address(),
        key: SharedKey::new(SHARED_KEY),
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
    let sidecar = Sidecar::start(settings.clone(), system_clock(), seed).await?;
    let row = InstanceRow {
        instance: settings.instance.clone(),
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
        settings,
    })
}
