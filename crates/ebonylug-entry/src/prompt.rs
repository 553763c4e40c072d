use serde::Deserialize;
use serde_json::value::RawValue;
use smallvec::SmallVec;

use ebonylug_core::Tokens;

/// Bytes of text per token, on average over common tokenizers.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of prompt that one prefix block covers (64 tokens).
const BLOCK_BYTES: usize = 256;
/// Prefix blocks that are taken from one prompt.
const MAX_BLOCKS: usize = 32;
/// Output tokens that are assumed when the caller sets no limit.
const DEFAULT_MAX_OUTPUT: u64 = 1_024;

/// Hashes of the prompt's leading blocks; each covers all text before its end.
pub type Prefix = SmallVec<[u64; 8]>;

/// What the entry needs of the body of a chat completion.
#[derive(Clone, Debug, PartialEq)]
pub struct Prompt {
    /// The model that the caller names.
    pub model: Box<str>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Estimated prompt tokens.
    pub tokens: Tokens,
    /// The bound on output tokens.
    pub max_output: Tokens,
    /// Hashes for prefix affinity.
    pub prefix: Prefix,
}

#[derive(Deserialize)]
struct CompletionRequest<'a> {
    model: Box<str>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(borrow)]
    messages: &'a RawValue,
}

impl Prompt {
    /// Reads the body of a chat completion. Fields that only the target understands are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON, or lacks `model` or `messages`.
    pub fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let body: CompletionRequest = serde_json::from_slice(body)?;
        let text = body.messages.get().as_bytes();
        let limit = body.max_completion_tokens.or(body.max_tokens);
        Ok(Prompt {
            model: body.model,
            stream: body.stream,
            tokens: Tokens((text.len() / BYTES_PER_TOKEN).max(1) as u64),
            max_output: Tokens(limit.unwrap_or(DEFAULT_MAX_OUTPUT)),
            prefix: prefix_hashes(text),
        })
    }
}

fn prefix_hashes(text: &[u8]) -> Prefix {
    let mut hasher = blake3::Hasher::new();
    let blocks = text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize();
            let head: [u8; 8] = hash.as_bytes()[..8].try_into().expect("hash has 32 bytes");
            u64::from_le_bytes(head)
        })
        .collect()
}
