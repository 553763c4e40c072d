use ebonylug_core::Class;

/// Headroom and load of one target, or the aggregate over several.
///
/// In tokens. `u64::MAX` headroom means that a request of any size fits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Headroom {
    /// Headroom for interactive work; the maximum, for several targets.
    pub(crate) interactive: u64,
    /// Headroom for batch work; the maximum, for several targets.
    pub(crate) batch: u64,
    /// Headroom for interactive work without preemption; the maximum, for several targets.
    pub(crate) free: u64,
    /// Expected work at the targets that currently serve.
    pub(crate) load: u64,
    /// The limit on `load`; the sum, for several targets.
    pub(crate) limit: u64,
    /// The highest limit of a single target.
    pub(crate) max_limit: u64,
}

/// Finds a target with enough headroom in logarithmic time.
///
/// A segment tree of maxima over the targets of one version on one route. The search starts at
/// a position that the caller draws at random, so that entries with the same reports find
/// different targets.
#[derive(Debug, Default)]
pub(crate) struct HeadroomTree {
    /// The root is at index 1, the children of `n` are at `2n` and `2n + 1`, and the leaves start
    /// at `width`.
    nodes: Vec<Headroom>,
    width: usize,
}

impl Headroom {
    pub(crate) fn for_class(&self, class: Class) -> u64 {
        match class {
            Class::Interactive => self.interactive,
            Class::Batch => self.batch,
        }
    }

    fn merge(self, other: Headroom) -> Headroom {
        Headroom {
            interactive: self.interactive.max(other.interactive),
            batch: self.batch.max(other.batch),
            free: self.free.max(other.free),
            load: self.load.saturating_add(other.load),
            limit: self.limit.saturating_add(other.limit),
            max_limit: self.max_limit.max(other.max_limit),
        }
    }
}

impl HeadroomTree {
    /// Sets the headroom at a position and grows the tree as needed.
    pub(crate) fn set(&mut self, position: usize, headroom: Headroom) {
        if position >= self.width {
            self.grow(position + 1);
        }
        let mut node = self.width + position;
        self.nodes[node] = headroom;
        while node > 1 {
            node /= 2;
            self.nodes[node] = self.nodes[2 * node].merge(self.nodes[2 * node + 1]);
        }
    }

    pub(crate) fn get(&self, position: usize) -> Headroom {
        self.nodes[self.width + position]
    }

    /// Returns the aggregate over all positions.
    pub(crate) fn total(&self) -> Headroom {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// Returns the first position at or after `start`, wrapping around, with headroom of at least
    /// `need`. For interactive work, positions that need no preemption come first.
    pub(crate) fn find(&self, class: Class, need: u64, start: usize) -> Option<usize> {
        let need = need.max(1);
        let total = self.total();
        if class == Class::Interactive && total.free >= need {
            return self.find_from(|headroom| headroom.free, need, start);
        }
        if total.for_class(class) < need {
            return None;
        }
        self.find_from(|headroom| headroom.for_class(class), need, start)
    }

    fn find_from(
        &self,
        value_of: impl Fn(Headroom) -> u64,
        need: u64,
        start: usize,
    ) -> Option<usize> {
        let position = self.find_after(&value_of, need, start);
        position.or_else(|| self.find_after(&value_of, need, 0))
    }

    /// Returns the position with the most headroom for interactive work, or `None` if no position
    /// has any.
    pub(crate) fn max_interactive(&self) -> Option<usize> {
        let max = self.total().interactive;
        if max == 0 {
            return None;
        }
        let mut node = 1;
        while node < self.width {
            node *= 2;
            if self.nodes[node].interactive < max {
                node += 1;
            }
        }
        Some(node - self.width)
    }

    fn find_after(
        &self,
        value_of: &impl Fn(Headroom) -> u64,
        need: u64,
        start: usize,
    ) -> Option<usize> {
        let mut node = self.width + start;
        while value_of(self.nodes[node]) < need {
            // Ascends while the node is a right child, then moves to its right neighbour.
            while node % 2 == 1 {
                if node == 1 {
                    return None;
                }
                node /= 2;
            }
            node += 1;
        }
        while node < self.width {
            node *= 2;
            if value_of(self.nodes[node]) < need {
                node += 1;
            }
        }
        Some(node - self.width)
    }

    fn grow(&mut self, positions: usize) {
        let width = positions.next_power_of_two();
        let leaves: Vec<Headroom> = self.nodes.drain(..).skip(self.width).collect();
        self.nodes = vec![Headroom::default(); 2 * width];
        self.nodes[width..width + leaves.len()].copy_from_slice(&leaves);
        for node in (1..width).rev() {
            self.nodes[node] = self.nodes[2 * node].merge(self.nodes[2 * node + 1]);
        }
        self.width = width;
    }
}
