//! The one import of every file of this crate.

pub use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt, io, mem,
    net::SocketAddr,
    sync::Arc,
};

pub use getopts::{Matches, Options};
pub use json_patch::{AddOperation, Patch, PatchOperation, RemoveOperation, ReplaceOperation, jsonptr::PointerBuf};
pub use minicbor::{Decode, Encode};
pub use serde::{
    Serialize, Serializer,
    de::{Deserializer as _, MapAccess, Visitor},
    ser::SerializeMap,
};
pub use serde_json::{Map, Value, json, value::RawValue};
pub use sha2::{Digest as _, Sha256};
pub use snafu::{Snafu, ensure};

pub use crate::configuration_history::ConfigurationHistory;
pub use crate::configuration_settings::ConfigurationSettings;
pub use crate::daemon_settings::DaemonSettings;
pub use crate::declare_settings;
pub use crate::declared_settings::DeclaredSettings;
pub use crate::effective_queue::{EffectiveQueue, Origins};
pub use crate::effective_tree::{EffectiveTree, EffectiveZone};
pub use crate::fault_list::FaultList;
pub use crate::history_entry::HistoryEntry;
pub use crate::history_snapshot::{HistorySnapshot, RememberedChange};
pub use crate::level_overrides::LevelOverrides;
pub use crate::patch_fault::PatchFault;
pub use crate::planned_change::{PlannedChange, plan};
pub use crate::put_error::PutError;
pub(crate) use crate::put_error::{BadChangeIdSnafu, ChangeIdReusedSnafu, RacedBaseSnafu, TooLargeSnafu};
pub use crate::put_outcome::PutOutcome;
pub use crate::queue_settings::QueueSettings;
pub(crate) use crate::raw_object::{for_each_entry, kind_of_text};
pub use crate::region_node::RegionNode;
pub use crate::setting_check::SettingCheck;
pub(crate) use crate::setting_check::{bad_name, is_name};
pub use crate::setting_description::SettingDescription;
pub use crate::setting_fault::SettingFault;
pub use crate::setting_faults::SettingFaults;
pub use crate::setting_level::SettingLevel;
pub(crate) use crate::setting_problem::{SHOWN_CHARS, cut};
pub use crate::setting_problem::{SettingProblem, kind_of, nearest_name};
pub use crate::setting_type::SettingType;
pub use crate::settings_page::settings_page;
pub use crate::settings_tree::{QueuePlace, SettingsTree};
pub(crate) use crate::snapshot_error::OtherDigestSnafu;
pub use crate::snapshot_error::SnapshotError;
pub use crate::tree_change::{TreeChange, tree_changes};
pub use crate::tree_diff::{diff, patch_text};
pub use crate::tree_digest::TreeDigest;
pub(crate) use crate::tree_parser::TreeParser;
pub use crate::tree_part::TreePart;
pub use crate::tree_patch::{apply_patch, apply_patch_within};
pub use crate::zone_node::ZoneNode;
