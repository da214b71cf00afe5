//! The methods nodes and operators call, by name, with their types.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use crate::control::demand::{DemandReply, DemandRequest};
pub use crate::control::heartbeat::{BoxHeartbeat, HeartbeatReply};
pub use crate::control::models::ModelsUpdate;
pub use crate::control::proxies::{ProxyReply, ProxyRequest};
pub use crate::control::throttle::{LeaderClock, ThrottleReply, ThrottleRequest};
use crate::error::Kind;
use crate::group::message::Members;
use crate::ids::{
    BackendId, BoxId, DataCentre, Incarnation, Index, Release, Revision, ServiceName, Suspect, Term,
};
use crate::state::config::{Accepted, Configuration};
use crate::state::difference::Digest;
use crate::state::document::Version;
use crate::state::quarantine::QuarantinedSuspects;
use crate::state::rollout::Rollout;
use crate::units::Millis;

/// Takes a list of the group's messages; answers nothing.
pub const STEP: &str = "group_step";
/// Takes a command; answers when it is applied.
pub const PROPOSE: &str = "group_propose";
/// Takes a [`Poll`]; answers a [`PollReply`].
pub const POLL: &str = "group_poll";
/// Answers the [`GroupStatus`] of this replica.
pub const GROUP_STATUS: &str = "group_status";
/// Takes the first members of a new group.
pub const FORM: &str = "group_form";
/// Takes a change of members.
pub const CHANGE_MEMBERS: &str = "group_change_members";
/// Takes an id of kept work; answers what is known of it, read at the leader.
pub const READ_WORK: &str = "group_read_work";
/// Answers the node's [`NodeStatus`].
pub const STATUS: &str = "node_status";
/// Asks the node to drain and stop.
pub const DRAIN: &str = "node_drain";
/// Takes a trace's id; answers the node's hops of it.
pub const TRACE: &str = "node_trace";
/// Exchanges news of boxes and backend servers.
pub const GOSSIP: &str = "member_gossip";
/// Asks whether a box answers.
pub const PROBE: &str = "member_probe";
/// Takes a node's demand; answers its shares of the teams' limits.
pub const SHARE: &str = "share_lease";
/// Takes a relay's word; answers its allowances and which parts of the list of
/// backend servers it is to have.
pub const BEAT: &str = "relay_beat";
/// Takes a [`DemandRequest`]; answers a [`DemandReply`].
pub const DEMAND: &str = "relay_demand";
/// Takes a [`ThrottleRequest`]; answers a [`ThrottleReply`].
pub const THROTTLE: &str = "relay_throttle";
/// Takes a [`ProxyRequest`]; answers a [`ProxyReply`].
pub const PROXIES: &str = "relay_proxies";

/// Answers which release began a stream: at the leader only. Packed both ways.
pub const STREAM_ORIGIN: &str = "relay_stream_origin";
/// Takes [`SharedOrigins`] of the leader; answers an [`OriginReceipt`]: at replicas only. Packed both ways.
pub const SHARED_ORIGINS: &str = "replica_stream_origins";
/// Takes the names of parts of the list of backend servers; answers their contents.
pub const LIST_PARTS: &str = "relay_list_parts";
/// Takes a [`DocumentAsk`]; answers a [`DocumentPiece`], or nothing where this replica does not have the document
/// yet.
pub const DOCUMENT: &str = "document_piece";
/// Takes a [`RolloutAsk`]; answers a [`RolloutAnswer`].
pub const ROLLOUT: &str = "operator_rollout";
/// Takes a [`QuarantineAsk`]; answers a [`QuarantineAnswer`].
pub const QUARANTINE: &str = "operator_quarantine";
/// Takes a stream that its node cannot finish.
pub const HAND_OVER: &str = "entry_hand_over";

/// Every call's parameters.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call<T> {
    /// The secret all nodes and operators share.
    pub secret: String,
    /// What the method takes.
    pub body: T,
}

/// What an operator asks of roll-outs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutAsk {
    /// Orders one.
    Order {
        /// The service.
        service: ServiceName,
        /// The release that is to serve it.
        release: Release,
        /// The time for it.
        time: Millis,
    },
    /// Asks for the last one of a service.
    Show(ServiceName),
    /// Takes the one under way back.
    Abort(ServiceName),
}

/// The roll-out as the group has it, or why there is no answer.
pub type RolloutAnswer = Result<Rollout, (Kind, String)>;

/// What an operator asks of the requests that no server gets any more.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineAsk {
    /// Asks for all.
    Show,
    /// Lets one through again.
    Lift(Suspect),
}

/// All that are held, or why there is no answer.
pub type QuarantineAnswer = Result<QuarantinedSuspects, (Kind, String)>;

/// Asks for the configuration's changes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Poll {
    /// The revision the asker has.
    pub from: Revision,
    /// The newest published document that the asker knows of; 0: none.
    #[serde(default)]
    pub document: Version,
    /// How long to wait for a newer one, in milliseconds.
    pub wait: u64,
    /// Whether the asker is not sure that what it has is the newest: word of that is news as well.
    #[serde(default)]
    pub unsure: bool,
}

/// The newest configuration, as little of it as the asker lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PollReply {
    /// How long ago this was certainly the newest anywhere, in milliseconds; `None`: not known.
    pub age: Option<u64>,
    /// Whether kept work waits to be claimed.
    pub work: bool,
    /// What the asker lacks.
    pub news: Update,
    /// The newest published document that the replica has.
    #[serde(default)]
    pub document: Version,
    /// The group's members.
    #[serde(default)]
    pub members: Vec<BoxId>,
    /// The data centre of the replica that answers.
    #[serde(default)]
    pub data_centre: Option<DataCentre>,
}

/// Asks for what a box lacks of the published document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAsk {
    /// The version that the box has; 0: none.
    pub held: Version,
    /// The version that it asks for, or a newer one.
    pub wanted: Version,
    /// The bytes of the difference that it has already: only those of `wanted` itself.
    pub offset: u32,
}

/// A piece of a packed difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPiece {
    /// The version that the difference leads from; 0: none.
    pub former: Version,
    /// The version that it leads to.
    pub version: Version,
    /// The hash of that version's text.
    pub digest: Digest,
    /// Bytes of the whole difference.
    pub size: u32,
    /// Where this piece begins in it.
    pub offset: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What a node lacks of the configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// These changes, in order; perhaps none.
    Changes(Vec<Arc<Accepted>>),
    /// All of it.
    Whole(Arc<Configuration>),
}

/// A replica's view of its group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The box.
    pub box_id: BoxId,
    /// The life of its disk.
    pub life: Incarnation,
    /// Whether it belongs to a group.
    pub formed: bool,
    /// `leader`, `follower` or `candidate`.
    pub role: String,
    /// The leader it knows.
    pub leader: Option<BoxId>,
    /// Its term.
    pub term: Term,
    /// Its last entry.
    pub last: Index,
    /// Its commit index.
    pub commit: Index,
    /// The members it knows.
    pub members: Members,
    /// At the leader: the last entry known to be stored by each other member.
    pub matched: BTreeMap<BoxId, Index>,
    /// At the leader: for how long each other member has not answered, in milliseconds.
    #[serde(default)]
    pub silent: BTreeMap<BoxId, u64>,
    /// The members that have announced that they stop; the others are known at the leader only.
    #[serde(default)]
    pub stopping: BTreeSet<BoxId>,
}

/// A node's state, for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The box.
    pub box_id: BoxId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// `starting`, `serving` or `draining`.
    pub phase: String,
    /// The revision in force.
    pub revision: Revision,
    /// How old it may be, in milliseconds; `None`: not known.
    pub age: Option<u64>,
    /// Requests under way.
    pub requests: usize,
    /// Where callers reach the node.
    pub entry: Option<SocketAddr>,
    /// The boxes it knows, with their states.
    pub boxes: BTreeMap<BoxId, String>,
    /// The backend servers it knows, with their states.
    pub backends: BTreeMap<BackendId, BackendStatus>,
    /// Milliseconds to data centres and back, as far as a relay has learned them.
    #[serde(default)]
    pub distances: BTreeMap<DataCentre, f64>,
    /// The group, on a replica.
    pub group: Option<GroupStatus>,
}

/// A backend server's state as one node sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// `open`, `leaving` or `ejected`.
    pub state: String,
    /// Requests this node has in flight there.
    pub requests: u32,
    /// Requests running there by its last report.
    pub running: u32,
    /// Requests waiting there by its last report.
    pub waiting: u32,
}
