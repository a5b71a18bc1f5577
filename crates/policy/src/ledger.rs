//! A parent's record of the shares that its children hold.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use filbertwheel_core::{
    Beat, Incarnation, OrganisationId, Rate, Share, Status, VmId, invariant, token,
};

use crate::WHOLE;
use crate::divide::divide;
use crate::reign::CLOCK_MARGIN;

/// How long a share may be used without a renewal.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(15);

/// Part of a whole that's kept for claims while it isn't asked for, in hundredths.
const RESERVE_PERCENT: u64 = 10;

/// Shares that were given out and may still be held.
#[derive(Debug)]
pub struct Ledger {
    own: VmId,
    children: BTreeMap<VmId, Child>,
    /// Earlier runs of children.
    past: Vec<Past>,
    takeover: Option<Takeover>,
}

#[derive(Debug)]
struct Child {
    incarnation: Incarnation,
    number: u64,
    answered: Instant,
    /// When it followed this root for certain.
    support: Option<Instant>,
    expires: Instant,
    /// Whether its shares are in this ledger.
    known: bool,
    /// The most that the child can hold.
    held: Portions,
    demands: BTreeMap<OrganisationId, f64>,
}

/// What an earlier run of a child may still hold.
#[derive(Debug)]
struct Past {
    expires: Instant,
    held: Portions,
}

/// Shares of an earlier root, which hold until they run out or are taken over.
#[derive(Debug)]
struct Takeover {
    until: Instant,
    adopted: Portions,
}

type Portions = BTreeMap<OrganisationId, u64>;

/// Why a beat isn't taken.
#[token]
#[derive(Display, Error)]
pub enum LedgerError {
    /// A later beat was taken already.
    #[display("the beat is out of order")]
    OutOfOrder,
}

impl Ledger {
    /// The ledger of the root on VM `own`.
    pub fn open(own: VmId) -> Self {
        Self {
            own,
            children: BTreeMap::new(),
            past: Vec::new(),
            takeover: None,
        }
    }

    /// Withholds what an earlier root has given out, as far as it isn't adopted. The earlier root
    /// grants nothing from `settled` on.
    pub fn withhold(&mut self, settled: Instant) {
        self.takeover = Some(Takeover {
            until: settled + SHARE_LIFETIME + CLOCK_MARGIN,
            adopted: Portions::new(),
        });
    }

    /// Takes note of a child's beat. Returns when the child followed this root for certain.
    pub fn note(&mut self, beat: &Beat, now: Instant) -> Result<Option<Instant>, LedgerError> {
        self.expire(now);
        let known = self.children.get(&beat.member.vm);
        if known.is_some_and(|child| child.is_after(beat)) {
            return Err(LedgerError::OutOfOrder);
        }
        let mut child = Child::of(beat, now);
        match self.children.remove(&beat.member.vm) {
            Some(last) if last.incarnation == child.incarnation => child.follows(beat, &last),
            Some(last) => self.past.push(last.into()),
            None => {}
        }
        let support = child.support;
        if beat.member.status == Status::Gone && child.held.is_empty() {
            return Ok(support);
        }
        self.children.insert(beat.member.vm.clone(), child);
        Ok(support)
    }

    /// The shares of a child whose beat was noted at `now`. They expire `SHARE_LIFETIME` after the
    /// child sent the beat.
    pub fn settle(
        &mut self,
        beat: &Beat,
        limits: &BTreeMap<OrganisationId, Rate>,
        settled: Instant,
        now: Instant,
    ) -> Option<Vec<Share>> {
        self.adopt(beat, settled, now)?;
        let shares = limits
            .iter()
            .filter_map(|(name, limit)| self.share(&beat.member.vm, name, *limit, now))
            .collect();
        self.check();
        Some(shares)
    }

    /// The most that all children together can hold of an organisation's rate.
    pub fn outstanding(&self, organisation: &OrganisationId) -> u64 {
        let past = self.past.iter().map(|past| &past.held);
        let children = self.children.values().map(|child| &child.held);
        children
            .chain(past)
            .filter_map(|held| held.get(organisation))
            .sum()
    }

    /// Takes the child's shares into the ledger. Shares of an earlier root are taken over once the
    /// child has heard from this root after the earlier one's end: until then that one may have
    /// given them to somebody else.
    fn adopt(&mut self, beat: &Beat, settled: Instant, now: Instant) -> Option<()> {
        let child = self.children.get_mut(&beat.member.vm)?;
        if child.known {
            return Some(());
        }
        if let Some(takeover) = &mut self.takeover
            && now < takeover.until
        {
            if child.support.is_none_or(|at| at < settled) {
                return None;
            }
            child.held = held_of(beat);
            for (organisation, portion) in &child.held {
                *takeover.adopted.entry(organisation.clone()).or_default() += portion;
            }
        }
        child.known = true;
        Some(())
    }

    /// What this ledger may give out of an organisation's rate.
    fn capacity(&self, organisation: &OrganisationId, now: Instant) -> u64 {
        match &self.takeover {
            Some(takeover) if now < takeover.until => {
                takeover.adopted.get(organisation).copied().unwrap_or(0)
            }
            _ => WHOLE,
        }
    }

    fn share(
        &mut self,
        vm: &VmId,
        organisation: &OrganisationId,
        limit: Rate,
        now: Instant,
    ) -> Option<Share> {
        let target = self.target(vm, organisation, limit);
        let free = self
            .capacity(organisation, now)
            .saturating_sub(self.outstanding(organisation));
        let child = self.children.get_mut(vm)?;
        let held = child.held.get(organisation).copied().unwrap_or_default();
        let granted = target.min(held + free);
        // A smaller share counts only once the child has confirmed it in its next beat.
        child.held.insert(organisation.clone(), held.max(granted));
        (granted > 0).then(|| Share {
            organisation: organisation.clone(),
            portion: granted,
        })
    }

    /// What a child should hold in the end.
    fn target(&self, vm: &VmId, organisation: &OrganisationId, limit: Rate) -> u64 {
        let wishes: Vec<(&VmId, u64)> = self
            .children
            .iter()
            .map(|(child, state)| (child, state.wish(organisation, limit)))
            .collect();
        let reserve = WHOLE / 100 * RESERVE_PERCENT;
        let divided = divide(WHOLE - reserve, wishes.iter().map(|(_, wish)| *wish));
        let smallest = smallest_portion(limit);
        let useful = |portion: u64| if portion < smallest { 0 } else { portion };
        if *vm == self.own {
            // The root keeps the reserve and what's left over, for claims.
            let others = wishes.iter().zip(&divided);
            let given = others
                .filter(|((other, _), _)| **other != self.own)
                .map(|(_, portion)| useful(*portion));
            return WHOLE - given.sum::<u64>();
        }
        let index = wishes.iter().position(|(other, _)| *other == vm);
        index.map_or(0, |index| useful(divided[index]))
    }

    fn expire(&mut self, now: Instant) {
        self.children.retain(|_, child| now < child.expires);
        self.past.retain(|past| now < past.expires);
    }

    fn check(&self) {
        for child in self.children.values() {
            for organisation in child.held.keys() {
                let outstanding = self.outstanding(organisation);
                invariant!(
                    "shares-within-whole",
                    outstanding <= WHOLE,
                    "{organisation} has {outstanding} billionths given out"
                );
            }
        }
    }
}

impl Child {
    fn of(beat: &Beat, now: Instant) -> Self {
        let demands = beat.demands.iter();
        Self {
            incarnation: beat.member.incarnation,
            number: beat.number,
            answered: now,
            support: None,
            expires: now + SHARE_LIFETIME + CLOCK_MARGIN,
            known: false,
            held: Portions::new(),
            demands: demands
                .map(|one| (one.organisation.clone(), one.rate))
                .collect(),
        }
    }

    /// Takes over from the beat before. The child sends one beat at a time and drops late answers,
    /// so it holds what it says.
    fn follows(&mut self, beat: &Beat, last: &Self) {
        self.support = if beat.heard == last.number {
            Some(last.answered)
        } else {
            last.support
        };
        self.known = last.known;
        // Until it has heard from this ledger, what it says may be long out of date.
        if self.known && self.support.is_some() {
            self.held = held_of(beat);
            self.check_held(last);
        }
    }

    fn check_held(&self, last: &Self) {
        for (organisation, portion) in &self.held {
            let given = last.held.get(organisation).copied().unwrap_or(0);
            invariant!(
                "held-as-granted",
                *portion <= given,
                "{portion} billionths of {organisation} are held, {given} were given"
            );
        }
    }

    fn is_after(&self, beat: &Beat) -> bool {
        (self.incarnation, self.number) >= (beat.member.incarnation, beat.number)
    }

    fn wish(&self, organisation: &OrganisationId, limit: Rate) -> u64 {
        let rate = self.demands.get(organisation).copied().unwrap_or_default();
        ((rate / limit.rate) * WHOLE as f64) as u64
    }
}

impl From<Child> for Past {
    fn from(child: Child) -> Self {
        Self {
            expires: child.expires,
            held: child.held,
        }
    }
}

fn held_of(beat: &Beat) -> Portions {
    let held = beat.demands.iter().filter(|one| one.held > 0);
    held.map(|one| (one.organisation.clone(), one.held))
        .collect()
}

/// The smallest portion whose burst holds one token.
fn smallest_portion(limit: Rate) -> u64 {
    if limit.burst <= 1.0 {
        WHOLE
    } else {
        (WHOLE as f64 / limit.burst).ceil() as u64
    }
}
