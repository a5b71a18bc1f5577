//! What the local backend server states about itself: in its responses, in its status reports, or
//! as other nodes knew it before this node started.

use std::time::{Duration, Instant};

use filbertwheel_backend::{ResponseNotice, StatedLimit};
use filbertwheel_core::{InstanceId, InstanceNotice, RequestRate, Warmup};
use filbertwheel_policy::{Coldness, Pacer, ReportSequence, SendReservation};

/// One life of a backend server: its instance id, and its start in milliseconds since the Unix
/// epoch, because a backend server may start again under the id that it had.
pub(crate) type Life = (InstanceId, u64);

/// What the present life of the backend server has stated about itself.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    present: Option<Present>,
    /// What another node knew of a life that has not reported to this node yet.
    early: Option<(InstanceNotice, Instant)>,
    /// Paces the calls while the backend server states a limit or is cold.
    pacer: Option<Pacer>,
    /// Number of times that pacing has begun.
    paced: u64,
}

/// Reserved send time of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PacedSend {
    /// Time until the call may be sent.
    pub wait: Duration,
    reservation: SendReservation,
    /// Number of times that pacing had begun.
    paced: u64,
}

#[derive(Debug)]
struct Present {
    life: Life,
    /// The limit in force, in requests per second.
    limit: Option<RequestRate>,
    /// When a response last stated a limit.
    limited_at: Option<Instant>,
    /// Whether it is cold.
    coldness: Coldness,
    /// Where that is known from.
    cold_source: &'static str,
    /// Whether it counted as cold when the pace was last set.
    was_cold: bool,
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
        let later = self.early.as_ref();
        let later = later.filter(|(early, _)| early.instance == life.0);
        if later.is_some_and(|(early, _)| early.started_ms > life.1) {
            // The report is of a life that has ended; another one has the id and the address.
            self.suspect("another node");
        }
    }

    /// Applies a status report, which says how much longer the present life stays cold.
    pub fn report_warmup(&mut self, left: Duration, sequence: ReportSequence, now: Instant) {
        let Some(present) = &mut self.present else {
            return;
        };
        present.coldness.report(left, sequence, now);
        present.cold_source = "report";
        if present.heard.is_some() || !left.is_zero() {
            present.heard = Some(now);
        }
    }

    /// Records that the backend server can't be reached, so that it may restart and be cold before its
    /// next report.
    pub fn mark_unreachable(&mut self, life: &Life) {
        if self.present.as_ref().is_some_and(|one| one.life == *life) {
            self.suspect("refused connection");
        }
    }

    /// Records that a call to a life was lost on its connection.
    pub fn mark_lost(&mut self, life: &Life) {
        let Some(present) = self.present.as_mut().filter(|one| one.life == *life) else {
            return;
        };
        let was_suspected = present.coldness.is_suspected();
        present.coldness.lose();
        if present.coldness.is_suspected() && !was_suspected {
            present.cold_source = "lost connections";
        }
    }

    fn suspect(&mut self, source: &'static str) {
        if let Some(present) = &mut self.present {
            if !present.coldness.is_suspected() {
                present.cold_source = source;
            }
            present.coldness.suspect();
        }
    }

    /// Applies what a response states. Its call was sent at `sent` to that life.
    pub fn record(&mut self, life: &Life, notice: ResponseNotice, sent: Instant, now: Instant) {
        let Some(present) = self.present.as_mut().filter(|one| one.life == *life) else {
            return;
        };
        present.coldness.respond(notice.warmup_left, sent, now);
        if notice.warmup_left.is_some() {
            present.cold_source = "response";
        }
        let limit = present.readable_limit(notice.limit);
        // A response from before the limit may arrive after one with it. Only the response to a later
        // call shows that the limit has ended.
        let may_be_late = limit.is_none() && present.limited_at.is_some_and(|at| sent < at);
        if !may_be_late {
            present.set_limit(limit, "response");
        }
        if limit.is_some() {
            present.limited_at = Some(now);
        }
        if notice.leaving && !present.leaving {
            present.leave("response");
        }
        present.first_hand = true;
        let states_warmup = notice.warmup_left.is_some_and(|left| !left.is_zero());
        if present.heard.is_some() || present.limit.is_some() || present.leaving || states_warmup {
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
        if notice.sequence > present.coldness.sequence() {
            let until = heard.checked_add(notice.warmup_left);
            present.coldness.learn(notice.sequence, until, heard);
            present.cold_source = "another node";
        }
        if !present.first_hand && present.heard.is_none_or(|known| heard > known) {
            present.set_limit(notice.limit, "another node");
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

    /// Returns whether the present life is cold; never if its service states no warm-up.
    pub fn is_cold(&self, warmup: Option<Warmup>, now: Instant) -> bool {
        let present = self.present.as_ref();
        warmup.is_some() && present.is_some_and(|one| one.coldness.is_cold(now))
    }

    /// Returns how much longer the present life stays cold, by the warm-up of its service.
    pub fn warmup_left(&self, warmup: Warmup, now: Instant) -> Duration {
        let present = self.present.as_ref();
        present.map_or(Duration::ZERO, |one| one.coldness.left(warmup.time, now))
    }

    /// Sets the pace to the lower of the stated limit and the rate of the warm-up. Returns the pacer while
    /// calls are paced.
    pub fn update_pacer(&mut self, warmup: Option<Warmup>, now: Instant) -> Option<&mut Pacer> {
        let present = self.present.as_mut()?;
        let cold_rate = present.cold_rate(warmup, now);
        let rate = match (present.limit, cold_rate) {
            (Some(limit), Some(rate)) => Some(limit.min(rate)),
            (limit, rate) => limit.or(rate),
        };
        match (rate, &mut self.pacer) {
            (None, _) => self.pacer = None,
            (Some(rate), Some(pacer)) => pacer.set_limit(rate, now),
            (Some(rate), None) => {
                self.pacer = Some(Pacer::open(rate, now));
                self.paced += 1;
            }
        }
        self.pacer.as_mut()
    }

    /// Reserves the send time of a call, or returns the time until one within `max_wait` can be
    /// reserved. Returns `None` if the calls aren't paced.
    pub fn reserve(
        &mut self,
        max_wait: Duration,
        warmup: Option<Warmup>,
        now: Instant,
    ) -> Option<Result<PacedSend, Duration>> {
        let reserved = self.update_pacer(warmup, now)?.reserve(max_wait, now);
        Some(reserved.map(|reservation| PacedSend {
            wait: reservation.wait,
            reservation,
            paced: self.paced,
        }))
    }

    /// Returns whether a call may be sent at the end of its reservation.
    pub fn is_valid(&mut self, send: &PacedSend, warmup: Option<Warmup>, now: Instant) -> bool {
        let paced = self.paced;
        self.update_pacer(warmup, now)
            .is_none_or(|pacer| paced == send.paced && pacer.is_valid(&send.reservation, now))
    }

    /// Returns what other nodes are told; `None` as long as nothing was stated.
    pub fn exported(&self, now: Instant) -> Option<InstanceNotice> {
        let present = self.present.as_ref()?;
        let heard = present.heard?;
        let age = now.saturating_duration_since(heard);
        let cold_until = present.coldness.until().unwrap_or(heard);
        let (instance, started_ms) = present.life.clone();
        Some(InstanceNotice {
            instance,
            started_ms,
            limit: present.limit,
            leaving: present.leaving,
            warmup_left: cold_until.saturating_duration_since(heard),
            sequence: present.coldness.sequence(),
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
            coldness: Coldness::default(),
            cold_source: "report",
            was_cold: false,
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

    fn set_limit(&mut self, limit: Option<RequestRate>, source: &str) {
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
            }
            None => {
                tracing::info!(
                    backend = %backend,
                    before,
                    source,
                    "runner: The backend server no longer states a request limit."
                );
            }
        }
        self.limit = limit;
    }

    /// Returns the rate of the warm-up while it lasts.
    fn cold_rate(&mut self, warmup: Option<Warmup>, now: Instant) -> Option<RequestRate> {
        let warmup = warmup.filter(|_| self.coldness.is_cold(now));
        let was_cold = std::mem::replace(&mut self.was_cold, warmup.is_some());
        let (backend, source) = (&self.life.0, self.cold_source);
        match warmup {
            Some(warmup) if !was_cold => tracing::info!(
                backend = %backend,
                rate = warmup.rate,
                left_ms = self.coldness.left(warmup.time, now).as_millis() as u64,
                source,
                "runner: The backend server is cold."
            ),
            None if was_cold => tracing::info!(
                backend = %backend,
                source,
                "runner: The backend server is warm."
            ),
            _ => {}
        }
        Some(warmup?.rate)
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
