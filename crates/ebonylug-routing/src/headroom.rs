use ebonylug_core::Class;

/// What the choice needs to know of one target, or the sum over several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Headroom {
    /// Room for interactive work; the largest one, for several targets.
    pub(crate) interactive: u64,
    /// Room for batch work; the largest one, for several targets.
    pub(crate) batch: u64,
    /// Room for interactive work without preemption; the largest one, for several targets.
    pub(crate) free: u64,
    /// Work inside the targets that serve at present.
    pub(crate) load: u64,
    /// The limit on this work.
    pub(crate) limit: u64,
    /// The largest limit of one target.
    pub(crate) max_limit: u64,
}

/// Finds a target with enough room in logarithmic time.
///
/// A tree of maxima over the targets of one version on one route. The search starts at a
/// position that the caller draws at random, so that several entries with the same reports
/// find different targets.
#[derive(Debug, Default)]
pub(crate) struct HeadroomTree {
    /// The root is at 1, the children of `n` at `2n` and `2n + 1`, the leaves from `width`.
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
    /// Sets the room at a position; the tree grows as needed.
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

    /// Returns the maxima and sums over all positions.
    pub(crate) fn total(&self) -> Headroom {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// Returns the first position from `start` on, cyclically, with room for `need`: free room,
    /// if any position has enough, or else what can be made free by preemption.
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

    /// Returns the position with the most room for interactive work, if there is any.
    pub(crate) fn max_interactive(&self) -> Option<usize> {
        let most = self.total().interactive;
        if most == 0 {
            return None;
        }
        let mut node = 1;
        while node < self.width {
            node *= 2;
            if self.nodes[node].interactive < most {
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
            // Climbs as long as the node is the last child, then goes to its sibling.
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
