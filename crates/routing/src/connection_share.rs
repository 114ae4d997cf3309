//! Division of a server's connections among the owners of its group.

/// An owner's demand for connections to one server, as reported to the other owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The owner's key, by which every daemon orders the owners.
    pub owner: u64,
    /// The connections that it could use now: those in use plus the requests that wait for one.
    pub wanted: u32,
}

/// Returns how many of a server's `limit` connections the owner `own` may hold.
///
/// Each owner is guaranteed an equal part of the limit. Connections that an owner does not want of its
/// part are divided evenly among owners that want more; the remainder goes to the first owners in order.
/// Owners with the same demands compute shares whose sum is at most the limit. While their demands differ,
/// the server enforces its limit; a request whose connection it refuses has not run.
pub fn connection_share(limit: u32, own: Demand, others: &[Demand]) -> u32 {
    let mut demands = Vec::with_capacity(others.len() + 1);
    demands.push(own);
    demands.extend(others.iter().filter(|demand| demand.owner != own.owner));
    demands.sort_by_key(|demand| demand.owner);
    let guaranteed = EqualParts::new(limit, demands.len());
    let mut shares: Vec<u32> = (0..demands.len())
        .map(|index| guaranteed.of(index).min(demands[index].wanted.max(1)))
        .collect();
    let mut left = limit.saturating_sub(shares.iter().sum());
    while left > 0 {
        let unsatisfied: Vec<usize> =
            (0..demands.len()).filter(|&index| demands[index].wanted > shares[index]).collect();
        if unsatisfied.is_empty() {
            break;
        }
        for index in unsatisfied {
            if left == 0 {
                break;
            }
            shares[index] += 1;
            left -= 1;
        }
    }
    // Connections without demand are divided evenly, so that owners can use them when demand rises.
    let spare = EqualParts::new(left, demands.len());
    for (index, share) in shares.iter_mut().enumerate() {
        *share += spare.of(index);
    }
    let index = demands.iter().position(|demand| demand.owner == own.owner);
    index.map_or(0, |index| shares[index])
}

/// A limit divided into equal parts; the remainder goes to the first owners, one each.
struct EqualParts {
    each: u32,
    remainder: usize,
}

impl EqualParts {
    fn new(limit: u32, owners: usize) -> EqualParts {
        let owners = owners.max(1) as u32;
        EqualParts { each: limit / owners, remainder: (limit % owners) as usize }
    }

    fn of(&self, index: usize) -> u32 {
        self.each + u32::from(index < self.remainder)
    }
}
