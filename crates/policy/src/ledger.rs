//! A parent's record of the shares that its children hold.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use filbertwheel_core::{
    Beat, Demand, Incarnation, OrganisationId, Rate, Share, VmId, invariant, token,
};

use crate::WHOLE;

/// How long a share may be used without a renewal.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(10);

/// Part of a whole that's kept for claims while it isn't asked for, in hundredths.
const RESERVE_PERCENT: u64 = 10;

/// Shares that were given out and may still be held.
#[derive(Debug)]
pub struct Ledger {
    own: VmId,
    children: BTreeMap<VmId, Child>,
    withheld: Option<Instant>,
}

#[derive(Debug)]
struct Child {
    incarnation: Incarnation,
    number: u64,
    expires: Instant,
    /// The most that the child can hold.
    held: BTreeMap<OrganisationId, u64>,
    demands: BTreeMap<OrganisationId, f64>,
}

/// Why a beat isn't taken.
#[token]
#[derive(Display, Error)]
pub enum LedgerError {
    /// A later beat was taken already.
    #[display("the beat is out of order")]
    OutOfOrder,
}

impl Ledger {
    /// The ledger of the root on VM `own`. With `withheld`, shares that an earlier root may have
    /// given out are waited for until then.
    pub fn open(own: VmId, withheld: Option<Instant>) -> Self {
        Self {
            own,
            children: BTreeMap::new(),
            withheld,
        }
    }

    /// Takes a child's beat and returns its shares. They expire `SHARE_LIFETIME` after the child
    /// sent the beat.
    pub fn settle(
        &mut self,
        beat: &Beat,
        limits: &BTreeMap<OrganisationId, Rate>,
        now: Instant,
    ) -> Result<Vec<Share>, LedgerError> {
        self.expire(now);
        self.note(beat, now)?;
        if self.withheld.is_some_and(|until| now < until) {
            return Ok(Vec::new());
        }
        let shares = limits
            .iter()
            .filter_map(|(organisation, limit)| self.share(&beat.member.vm, organisation, *limit))
            .collect();
        self.check();
        Ok(shares)
    }

    /// The most that all children together can hold of an organisation's rate.
    pub fn outstanding(&self, organisation: &OrganisationId) -> u64 {
        self.children
            .values()
            .filter_map(|child| child.held.get(organisation))
            .sum()
    }

    fn note(&mut self, beat: &Beat, now: Instant) -> Result<(), LedgerError> {
        let Beat {
            member,
            number,
            demands,
            ..
        } = beat;
        if let Some(child) = self.children.get(&member.vm)
            && (member.incarnation, *number) <= (child.incarnation, child.number)
        {
            return Err(LedgerError::OutOfOrder);
        }
        // The child sends one beat at a time and drops late answers, so it holds what it says.
        // A new run of a node holds nothing, but an earlier run may still be spending.
        let kept = match self.children.remove(&member.vm) {
            Some(child) if child.incarnation != member.incarnation => child.held,
            _ => BTreeMap::new(),
        };
        let mut held = kept;
        for Demand {
            organisation,
            held: portion,
            ..
        } in demands
        {
            *held.entry(organisation.clone()).or_default() += portion;
        }
        let demands = demands
            .iter()
            .map(|one| (one.organisation.clone(), one.rate))
            .collect();
        let child = Child {
            incarnation: member.incarnation,
            number: *number,
            expires: now + SHARE_LIFETIME,
            held,
            demands,
        };
        self.children.insert(member.vm.clone(), child);
        Ok(())
    }

    fn share(&mut self, vm: &VmId, organisation: &OrganisationId, limit: Rate) -> Option<Share> {
        let target = self.target(vm, organisation, limit);
        let free = WHOLE.saturating_sub(self.outstanding(organisation));
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
            .filter(|(other, _)| **other != self.own)
            .map(|(other, child)| (other, child.wish(organisation, limit)))
            .collect();
        let reserve = WHOLE / 100 * RESERVE_PERCENT;
        let divided = divide(WHOLE - reserve, wishes.iter().map(|(_, wish)| *wish));
        let smallest = smallest_portion(limit);
        let useful = |portion: u64| if portion < smallest { 0 } else { portion };
        if *vm == self.own {
            return WHOLE - divided.iter().copied().map(useful).sum::<u64>();
        }
        let index = wishes.iter().position(|(other, _)| *other == vm);
        index.map_or(0, |index| useful(divided[index]))
    }

    fn expire(&mut self, now: Instant) {
        self.children.retain(|_, child| now < child.expires);
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
    fn wish(&self, organisation: &OrganisationId, limit: Rate) -> u64 {
        let rate = self.demands.get(organisation).copied().unwrap_or_default();
        ((rate / limit.rate) * WHOLE as f64) as u64
    }
}

/// The smallest portion whose burst holds one token.
fn smallest_portion(limit: Rate) -> u64 {
    if limit.burst <= 1.0 {
        WHOLE
    } else {
        (WHOLE as f64 / limit.burst).ceil() as u64
    }
}

/// Divides `total` by max-min fairness; what nobody wishes for is added in proportion.
fn divide(total: u64, wishes: impl Iterator<Item = u64>) -> Vec<u64> {
    let wishes: Vec<u64> = wishes.collect();
    let sum: u64 = wishes.iter().sum();
    if sum == 0 {
        return vec![0; wishes.len()];
    }
    if sum <= total {
        return wishes.iter().map(|wish| scale(*wish, total, sum)).collect();
    }
    let mut order: Vec<usize> = (0..wishes.len()).collect();
    order.sort_by_key(|index| wishes[*index]);
    let mut divided = vec![0; wishes.len()];
    let mut left = total;
    for (place, index) in order.iter().enumerate() {
        let even = left / (wishes.len() - place) as u64;
        divided[*index] = wishes[*index].min(even);
        left -= divided[*index];
    }
    divided
}

fn scale(part: u64, total: u64, sum: u64) -> u64 {
    (u128::from(part) * u128::from(total) / u128::from(sum)) as u64
}
