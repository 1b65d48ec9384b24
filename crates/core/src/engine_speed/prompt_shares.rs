//! Which streams of a service bring its prompt tokens.

/// Number of requests after which an old one has about a third of its weight.
const MEMORY_REQUESTS: f64 = 256.0;
/// Most event gap goals that are followed.
const MAX_GOALS: usize = 64;

/// Decaying sums of prompt tokens by event gap goal.
#[derive(Clone, Debug, Default)]
pub(super) struct PromptShares {
    /// By goal, in milliseconds; at most [`MAX_GOALS`].
    tokens_by_goal: Vec<(u64, f64)>,
    total: f64,
}

impl PromptShares {
    /// Records a prompt, and returns the share of the streams with its goal in all prompt tokens.
    pub(super) fn record(&mut self, goal_ms: u64, tokens: u32) -> f64 {
        let decay = 1.0 - 1.0 / MEMORY_REQUESTS;
        for (_, sum) in &mut self.tokens_by_goal {
            *sum *= decay;
        }
        self.total = self.total * decay + f64::from(tokens);
        let known = self.tokens_by_goal.iter_mut().find(|(goal, _)| *goal == goal_ms);
        let of_goal = match known {
            Some((_, sum)) => {
                *sum += f64::from(tokens);
                *sum
            }
            None => {
                if self.tokens_by_goal.len() == MAX_GOALS {
                    self.tokens_by_goal.remove(0);
                }
                self.tokens_by_goal.push((goal_ms, f64::from(tokens)));
                f64::from(tokens)
            }
        };
        of_goal / self.total.max(1.0)
    }
}
