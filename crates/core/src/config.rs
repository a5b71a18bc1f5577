//! The configuration document and the edits that change it.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use filbertwheel_macros::{message, value};

use crate::{
    CommandId, Criticality, Incarnation, KeyHash, OrganisationId, ServiceId, Text, Version, VmId,
};

/// Rate limit of an organisation over the whole fleet.
#[message]
#[derive(Copy)]
pub struct Rate {
    /// Sustained rate in calls per second.
    pub rate: f64,
    /// Capacity of the token bucket: calls that may arrive at once after an idle period.
    pub burst: f64,
}

/// Settings of an organisation.
#[message]
pub struct Organisation {
    /// Rate limit over the whole fleet.
    pub limit: Rate,
}

/// An API key. Only its hash is stored.
#[message]
pub struct Key {
    /// The organisation that the key belongs to.
    pub organisation: OrganisationId,
}

/// Settings for the requests that match a method and a path prefix of a service.
#[message]
pub struct Route {
    /// The service that handles the requests.
    pub service: ServiceId,
    /// HTTP method that it matches; `None` matches all methods.
    pub method: Option<Text>,
    /// Path prefix that it matches.
    pub prefix: Text,
    /// Importance of the requests for load shedding.
    pub criticality: Criticality,
    /// Whether it is safe to run a request more than once.
    pub idempotent: bool,
    /// Whether callers need no key.
    pub open: bool,
}

/// A version of the configuration document.
#[message]
#[derive(Default)]
pub struct Configuration {
    /// Number of changes applied so far.
    pub version: Version,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Keys by hash.
    pub keys: BTreeMap<KeyHash, Key>,
    /// Routes by name.
    pub routes: BTreeMap<Text, Route>,
    /// VMs that accept no new requests, with the last incarnation of the node that this applies to.
    #[serde(default)]
    pub drains: BTreeMap<VmId, Incarnation>,
}

/// A change as stored in the table store.
#[message]
pub struct Change {
    /// The version that results from it.
    pub version: Version,
    /// Id of the command that requested it.
    pub command: CommandId,
    /// The edit.
    pub edit: Edit,
}

/// An edit of the configuration.
#[message]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Edit {
    /// Creates an organisation or changes its rate limit.
    SetOrganisation {
        /// Name of the organisation.
        name: OrganisationId,
        /// New rate limit.
        limit: Rate,
    },
    /// Removes an organisation and its keys.
    RemoveOrganisation {
        /// Name of the organisation.
        name: OrganisationId,
    },
    /// Adds a key to an organisation.
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
    /// Drains a VM: its backend server completes the requests in flight and gets no new ones.
    DrainVm {
        /// Name of the VM.
        vm: VmId,
        /// Incarnation of the node to drain. Later incarnations accept requests again.
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
        /// The given name.
        name: OrganisationId,
    },
    /// The key doesn't exist.
    #[display("there is no such key")]
    NoKey,
    /// The route doesn't exist.
    #[display("there is no route named {name}")]
    NoRoute {
        /// The given name.
        name: Text,
    },
    /// Rate or burst isn't a positive finite number.
    #[display("rate and burst must be positive and finite")]
    BadRate,
    /// The change isn't for the next version.
    #[display("change {found} does not follow version {current}")]
    Gap {
        /// Version of the document.
        current: Version,
        /// Version of the change.
        found: Version,
    },
}

impl Configuration {
    /// Returns the route for a request. The longest prefix wins; among routes with the same prefix,
    /// one with a method wins.
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

    /// Whether this incarnation of a VM's node is drained.
    pub fn is_drained(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.drains.get(vm).is_some_and(|last| incarnation <= *last)
    }

    /// Returns the version that results from an edit.
    pub fn with_edit(&self, edit: &Edit) -> Result<Self, ConfigError> {
        let mut next = self.clone();
        next.apply_edit(edit)?;
        next.version += 1;
        Ok(next)
    }

    /// Applies a change, which must be for the next version.
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

    /// Checks whether an edit can be applied.
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
