//! What the local backend server states about itself: in its responses, in its status reports, or
//! as other nodes knew it before this node started.

use std::time::Instant;

use filbertwheel_backend::{ResponseNotice, StatedLimit};
use filbertwheel_core::{InstanceId, InstanceNotice, RequestRate};
use filbertwheel_policy::{Pacer, SendReservation};

/// One life of a backend server: its instance id, and its start in milliseconds since the Unix
/// epoch, because a backend server may start again under the id that it had.
pub(crate) type Life = (InstanceId, u64);

/// What the present life of the backend server has stated about itself.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    present: Option<Present>,
    /// What another node knew of a life that has not reported to this node yet.
    early: Option<(InstanceNotice, Instant)>,
}

#[derive(Debug)]
struct Present {
    life: Life,
    /// The limit in force, in requests per second.
    limit: Option<RequestRate>,
    /// When a response last stated a limit.
    limited_at: Option<Instant>,
    /// Paces the calls while a limit is in force.
    pacer: Option<Pacer>,
    leaving: bool,
    /// When the backend server stated this; `None` as long as it has stated nothing.
    heard: Option<Instant>,
    /// Whether a response has reached this node itself.
    first_hand: bool,
    /// Whether the last limit could not be read.
    malformed: bool,
}

impl Notices {
    /// Starts anew for a new life.
    pub fn begin_life(&mut self, life: Life, now: Instant) {
        self.present = Some(Present::open(life.clone()));
        let is_known = |early: &mut (InstanceNotice, Instant)| {
            early.0.instance == life.0 && early.0.started_ms == life.1
        };
        if let Some((early, received)) = self.early.take_if(is_known) {
            let age = early
                .age
                .saturating_add(now.saturating_duration_since(received));
            self.learn(InstanceNotice { age, ..early }, now);
        }
    }

    /// Applies what a response states. Its call was sent at `sent` to that life.
    pub fn record(&mut self, life: &Life, notice: ResponseNotice, sent: Instant, now: Instant) {
        let Some(present) = self.present.as_mut().filter(|one| one.life == *life) else {
            return;
        };
        let limit = present.readable_limit(notice.limit);
        // A response from before the limit may arrive after one with it. Only the response to a later
        // call shows that the limit has ended.
        let may_be_late = limit.is_none() && present.limited_at.is_some_and(|at| sent < at);
        if !may_be_late {
            present.set_limit(limit, "response", now);
        }
        if limit.is_some() {
            present.limited_at = Some(now);
        }
        if notice.leaving && !present.leaving {
            present.leave("response");
        }
        present.first_hand = true;
        if present.heard.is_some() || present.limit.is_some() || present.leaving {
            present.heard = Some(now);
        }
    }

    /// Applies what another node knew. Responses that have reached this node itself count for more,
    /// but a backend server that was leaving stays so.
    pub fn learn(&mut self, notice: InstanceNotice, now: Instant) {
        let life = (notice.instance.clone(), notice.started_ms);
        let Some(present) = self.present.as_mut() else {
            self.keep_early(notice, now);
            return;
        };
        if present.life != life {
            return;
        }
        if notice.leaving && !present.leaving {
            present.leave("another node");
        }
        let heard = now.checked_sub(notice.age).unwrap_or(now);
        if !present.first_hand && present.heard.is_none_or(|known| heard > known) {
            present.set_limit(notice.limit, "another node", now);
            present.heard = Some(heard);
        }
    }

    /// Keeps what other nodes knew until the backend server reports: the latest life, of that what was
    /// heard last, and that it was leaving.
    fn keep_early(&mut self, notice: InstanceNotice, now: Instant) {
        let Some((known, received)) = &mut self.early else {
            self.early = Some((notice, now));
            return;
        };
        if known.instance != notice.instance || known.started_ms != notice.started_ms {
            if notice.started_ms > known.started_ms {
                self.early = Some((notice, now));
            }
            return;
        }
        let leaving = known.leaving || notice.leaving;
        let elapsed = now.saturating_duration_since(*received);
        let known_age = known.age.saturating_add(elapsed);
        if notice.age < known_age {
            (*known, *received) = (notice, now);
        }
        known.leaving = leaving;
    }

    /// Records that the present life leaves, as its status reports say.
    pub fn mark_leaving(&mut self, now: Instant) {
        if let Some(present) = &mut self.present {
            present.leaving = true;
            present.heard = Some(now);
        }
    }

    /// Returns whether the present life is leaving.
    pub fn is_leaving(&self) -> bool {
        self.present.as_ref().is_some_and(|one| one.leaving)
    }

    /// Returns the limit in force, in requests per second.
    pub fn limit(&self) -> Option<RequestRate> {
        self.present.as_ref()?.limit
    }

    /// Returns the pacer of the limit in force.
    pub fn pacer(&mut self) -> Option<&mut Pacer> {
        self.present.as_mut()?.pacer.as_mut()
    }

    /// Returns whether a call may be sent at the end of its reservation.
    pub fn is_valid(&mut self, reservation: &SendReservation) -> bool {
        self.pacer().is_none_or(|pacer| pacer.is_valid(reservation))
    }

    /// Returns what other nodes are told; `None` as long as nothing was stated.
    pub fn exported(&self, now: Instant) -> Option<InstanceNotice> {
        let present = self.present.as_ref()?;
        let age = now.saturating_duration_since(present.heard?);
        let (instance, started_ms) = present.life.clone();
        Some(InstanceNotice {
            instance,
            started_ms,
            limit: present.limit,
            leaving: present.leaving,
            age,
        })
    }
}

impl Present {
    fn open(life: Life) -> Self {
        Self {
            life,
            limit: None,
            limited_at: None,
            pacer: None,
            leaving: false,
            heard: None,
            first_hand: false,
            malformed: false,
        }
    }

    /// Returns the limit that holds after a response: an unreadable one changes nothing.
    fn readable_limit(&mut self, stated: StatedLimit) -> Option<RequestRate> {
        let was_malformed = std::mem::replace(&mut self.malformed, false);
        match stated {
            StatedLimit::None => None,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Malformed => {
                self.malformed = true;
                if !was_malformed {
                    tracing::warn!(
                        backend = %self.life.0,
                        limit = self.limit,
                        "runner: The request limit in a response can't be read; the earlier one stays."
                    );
                }
                self.limit
            }
        }
    }

    fn set_limit(&mut self, limit: Option<RequestRate>, source: &str, now: Instant) {
        let limit = limit.filter(|rate| rate.is_finite() && *rate >= 0.0);
        if limit == self.limit {
            return;
        }
        let (backend, before) = (&self.life.0, self.limit);
        match limit {
            Some(rate) => {
                tracing::info!(
                    backend = %backend,
                    limit = rate,
                    before,
                    source,
                    "runner: The backend server states a request limit."
                );
                match &mut self.pacer {
                    Some(pacer) => pacer.set_limit(rate, now),
                    None => self.pacer = Some(Pacer::open(rate, now)),
                }
            }
            None => {
                tracing::info!(
                    backend = %backend,
                    before,
                    source,
                    "runner: The backend server no longer states a request limit."
                );
                self.pacer = None;
            }
        }
        self.limit = limit;
    }

    fn leave(&mut self, source: &str) {
        self.leaving = true;
        tracing::info!(
            backend = %self.life.0,
            source,
            "runner: The backend server states that it is leaving."
        );
    }
}
