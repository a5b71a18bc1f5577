//! The configuration document and the edits that make its next version.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use filbertwheel_macros::{message, value};

use crate::{
    CommandId, Criticality, Incarnation, KeyHash, OrganisationId, ServiceId, Text, Version, VmId,
};

/// Rate and burst of an organisation over the whole fleet.
#[message]
#[derive(Copy)]
pub struct Rate {
    /// Calls a second.
    pub rate: f64,
    /// Calls that may come at once after a pause.
    pub burst: f64,
}

/// An organisation and what it may use.
#[message]
pub struct Organisation {
    /// Rate and burst over the whole fleet.
    pub limit: Rate,
}

/// A key, known by its hash only.
#[message]
pub struct Key {
    /// The organisation that it stands for.
    pub organisation: OrganisationId,
}

/// How requests to a part of a service are treated.
#[message]
pub struct Route {
    /// The service that it leads to.
    pub service: ServiceId,
    /// Method that it covers, or all methods.
    pub method: Option<Text>,
    /// Start of the paths that it covers.
    pub prefix: Text,
    /// How much its requests matter.
    pub criticality: Criticality,
    /// Whether its requests may run twice.
    pub idempotent: bool,
    /// Whether it's open to callers without a key.
    pub open: bool,
}

/// A version of the configuration.
#[message]
#[derive(Default)]
pub struct Configuration {
    /// Number of changes that made it.
    pub version: Version,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Keys by hash.
    pub keys: BTreeMap<KeyHash, Key>,
    /// Routes by name.
    pub routes: BTreeMap<Text, Route>,
    /// VMs that take no new work, with the last run of the node that this is for.
    #[serde(default)]
    pub drains: BTreeMap<VmId, Incarnation>,
}

/// One change as it's kept in the table service.
#[message]
pub struct Change {
    /// The version that it makes.
    pub version: Version,
    /// Id of the command that asked for it.
    pub command: CommandId,
    /// What it does.
    pub edit: Edit,
}

/// What a change does.
#[message]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Edit {
    /// Creates an organisation or changes its limit.
    SetOrganisation {
        /// Name of the organisation.
        name: OrganisationId,
        /// Its new limit.
        limit: Rate,
    },
    /// Removes an organisation with its keys.
    RemoveOrganisation {
        /// Name of the organisation.
        name: OrganisationId,
    },
    /// Gives an organisation a key.
    AddKey {
        /// Hash of the key.
        hash: KeyHash,
        /// The organisation.
        organisation: OrganisationId,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Creates or replaces a route.
    SetRoute {
        /// Name of the route.
        name: Text,
        /// The route.
        route: Route,
    },
    /// Removes a route.
    RemoveRoute {
        /// Name of the route.
        name: Text,
    },
    /// Lets a VM's backend server finish its work and take nothing new.
    DrainVm {
        /// Name of the VM.
        vm: VmId,
        /// The run of the node that it's for; later runs take work again.
        incarnation: Incarnation,
    },
}

/// Why an edit can't be applied.
#[value]
#[derive(Display, Error)]
pub enum ConfigError {
    /// The organisation doesn't exist.
    #[display("there is no organisation named {name}")]
    NoOrganisation {
        /// Name that was given.
        name: OrganisationId,
    },
    /// The key doesn't exist.
    #[display("there is no such key")]
    NoKey,
    /// The route doesn't exist.
    #[display("there is no route named {name}")]
    NoRoute {
        /// Name that was given.
        name: Text,
    },
    /// The limit isn't a positive finite number.
    #[display("rate and burst must be positive and finite")]
    BadRate,
    /// The change doesn't follow this version.
    #[display("change {found} does not follow version {current}")]
    Gap {
        /// Version of the document.
        current: Version,
        /// Version of the change.
        found: Version,
    },
}

impl Configuration {
    /// Finds the route for a request: the longest prefix wins, then one with a method.
    pub fn route(&self, service: &[u8], method: &[u8], path: &[u8]) -> Option<&Route> {
        self.routes
            .values()
            .filter(|route| route.service.as_bytes() == service)
            .filter(|route| path.starts_with(route.prefix.as_bytes()))
            .filter(|route| {
                route
                    .method
                    .as_ref()
                    .is_none_or(|own| own.as_bytes() == method)
            })
            .max_by_key(|route| (route.prefix.as_bytes().len(), route.method.is_some()))
    }

    /// Whether this run of a VM's node takes no new work.
    pub fn is_drained(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.drains.get(vm).is_some_and(|last| incarnation <= *last)
    }

    /// The version that an edit would make.
    pub fn with_edit(&self, edit: &Edit) -> Result<Self, ConfigError> {
        let mut next = self.clone();
        next.apply_edit(edit)?;
        next.version += 1;
        Ok(next)
    }

    /// Applies a change that follows this version.
    pub fn apply(&mut self, change: &Change) -> Result<(), ConfigError> {
        if change.version != self.version + 1 {
            return Err(ConfigError::Gap {
                current: self.version,
                found: change.version,
            });
        }
        self.apply_edit(&change.edit)?;
        self.version = change.version;
        Ok(())
    }

    /// Checks whether an edit could be applied.
    pub fn check(&self, edit: &Edit) -> Result<(), ConfigError> {
        match edit {
            Edit::SetOrganisation { limit, .. } if !limit.is_valid() => Err(ConfigError::BadRate),
            Edit::RemoveOrganisation { name }
            | Edit::AddKey {
                organisation: name, ..
            } if !self.organisations.contains_key(name) => {
                Err(ConfigError::NoOrganisation { name: name.clone() })
            }
            Edit::WithdrawKey { hash } if !self.keys.contains_key(hash) => Err(ConfigError::NoKey),
            Edit::RemoveRoute { name } if !self.routes.contains_key(name) => {
                Err(ConfigError::NoRoute { name: name.clone() })
            }
            _ => Ok(()),
        }
    }

    fn apply_edit(&mut self, edit: &Edit) -> Result<(), ConfigError> {
        self.check(edit)?;
        match edit.clone() {
            Edit::SetOrganisation { name, limit } => {
                self.organisations.insert(name, Organisation { limit });
            }
            Edit::RemoveOrganisation { name } => {
                self.organisations.remove(&name);
                self.keys.retain(|_, key| key.organisation != name);
            }
            Edit::AddKey { hash, organisation } => {
                self.keys.insert(hash, Key { organisation });
            }
            Edit::WithdrawKey { hash } => {
                self.keys.remove(&hash);
            }
            Edit::SetRoute { name, route } => {
                self.routes.insert(name, route);
            }
            Edit::RemoveRoute { name } => {
                self.routes.remove(&name);
            }
            Edit::DrainVm { vm, incarnation } => {
                self.drains.insert(vm, incarnation);
            }
        }
        Ok(())
    }
}

impl Rate {
    fn is_valid(self) -> bool {
        [self.rate, self.burst]
            .iter()
            .all(|number| number.is_finite() && *number > 0.0)
    }
}
