//! How the owners of a group divide a server's connections among themselves.

/// An owner's use of one server's connections, as it tells the other owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The owner, by a number that orders owners alike on every daemon.
    pub owner: u64,
    /// Connections that it could use now: those in use and requests that wait for one.
    pub wanted: u32,
}

/// Returns how many of a server's `limit` connections the owner `own` may hold.
///
/// Each owner has an equal floor, which it gets whenever it wants it. What others leave of theirs is
/// divided among those that want more, evenly, the remainder to the first in order. Owners that
/// know the same demands arrive at shares that add up to at most the limit; while their knowledge
/// differs, the server's own limit holds, and a refused connection is a request that did not run.
pub fn connection_share(limit: u32, own: Demand, others: &[Demand]) -> u32 {
    let mut demands = Vec::with_capacity(others.len() + 1);
    demands.push(own);
    demands.extend(others.iter().filter(|demand| demand.owner != own.owner));
    demands.sort_by_key(|demand| demand.owner);
    let floors = Floors::new(limit, demands.len());
    let mut shares: Vec<u32> = (0..demands.len())
        .map(|place| floors.of(place).min(demands[place].wanted.max(1)))
        .collect();
    let mut left = limit.saturating_sub(shares.iter().sum());
    while left > 0 {
        let hungry: Vec<usize> =
            (0..demands.len()).filter(|&place| demands[place].wanted > shares[place]).collect();
        if hungry.is_empty() {
            break;
        }
        for place in hungry {
            if left == 0 {
                break;
            }
            shares[place] += 1;
            left -= 1;
        }
    }
    // What nobody wants now is spread evenly, to be at hand when somebody does.
    let spare = Floors::new(left, demands.len());
    for (place, share) in shares.iter_mut().enumerate() {
        *share += spare.of(place);
    }
    let place = demands.iter().position(|demand| demand.owner == own.owner);
    place.map_or(0, |place| shares[place])
}

/// The equal parts of a limit; the first owners get what does not divide.
struct Floors {
    each: u32,
    remainder: usize,
}

impl Floors {
    fn new(limit: u32, owners: usize) -> Floors {
        let owners = owners.max(1) as u32;
        Floors { each: limit / owners, remainder: (limit % owners) as usize }
    }

    fn of(&self, place: usize) -> u32 {
        self.each + u32::from(place < self.remainder)
    }
}
