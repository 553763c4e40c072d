use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use ebonylug_core::Fingerprint;
use futures_util::Stream;
use futures_util::stream;
use serde_json::{Value, json};
use tokio::sync::OwnedSemaphorePermit;

use super::chat::{ChatRequest, token};
use super::settings::EngineSettings;
use super::state::{Admitted, InFlight, State};
use crate::net::Conn;
use crate::server::Broken;

/// A request that the engine runs, token by token.
pub(super) struct Generation {
    in_flight: InFlight,
    conn: Arc<Conn>,
    admitted: Admitted,
    /// Held from the start of the prefill on.
    slot: Option<OwnedSemaphorePermit>,
    seed: Fingerprint,
    offset: u64,
    next: u64,
    end: u64,
    /// Tokens of the prompt, without those of a resumed output.
    prompt: u64,
    cached: u64,
    /// When the next token is produced.
    due: Instant,
}

impl Generation {
    pub(super) fn new(
        state: Arc<State>,
        conn: Arc<Conn>,
        admitted: Admitted,
        request: &ChatRequest,
        offset: u64,
    ) -> Self {
        let seed = request.fingerprint();
        let text = request.prompt();
        let mut tokens: Vec<Box<str>> = text.split_whitespace().map(Into::into).collect();
        let prompt = tokens.len() as u64;
        tokens.extend((0..offset).map(|number| token(seed, number).trim_end().into()));
        Generation {
            in_flight: InFlight::take(state, admitted.life.clone(), tokens),
            conn,
            admitted,
            slot: None,
            seed,
            offset,
            next: offset,
            end: request.max_tokens,
            prompt,
            cached: 0,
            due: Instant::now(),
        }
    }

    /// Runs to the end and returns the whole text.
    pub(super) async fn text(&mut self) -> Result<String, Broken> {
        let mut text = String::new();
        while let Some(word) = self.token().await? {
            text.push_str(word);
        }
        Ok(text)
    }

    /// Turns the run into server-sent events.
    pub(super) fn events(self) -> impl Stream<Item = Result<Bytes, Broken>> {
        stream::unfold(Some(self), |generation| async {
            let mut generation = generation?;
            match generation.token().await {
                Ok(Some(word)) => {
                    let chunk = generation.chunk(word);
                    Some((Ok(chunk), Some(generation)))
                }
                Ok(None) => Some((Ok(generation.last_chunk()), None)),
                Err(error) => Some((Err(error), None)),
            }
        })
    }

    /// The JSON of an answer that is not streamed.
    pub(super) fn whole(&self, text: &str) -> Value {
        json!({
            "id": self.id(),
            "object": "chat.completion",
            "created": 0,
            "model": self.admitted.model.id,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "length",
            }],
            "usage": self.usage(),
        })
    }

    /// Produces the next token, or `None` at the end.
    async fn token(&mut self) -> Result<Option<&'static str>, Broken> {
        if self.slot.is_none() {
            self.prefill().await?;
        }
        if self.next >= self.end {
            self.alive(std::future::ready(())).await?;
            self.in_flight.finish();
            return Ok(None);
        }
        if self.admitted.cut && self.next >= self.offset + (self.end - self.offset) / 2 {
            self.in_flight.fail();
            return Err(Broken);
        }
        let time = self.settings().token_time(self.in_flight.running());
        self.due += time.mul_f64(self.admitted.slowdown);
        self.alive(tokio::time::sleep_until(self.due.into()))
            .await?;
        let word = token(self.seed, self.next);
        self.next += 1;
        self.in_flight.tokens.push(word.trim_end().into());
        Ok(Some(word))
    }

    /// Waits for a slot and computes the prompt.
    async fn prefill(&mut self) -> Result<(), Broken> {
        let slots = self.admitted.life.slots.clone();
        let slot = self.alive(slots.acquire_owned()).await?;
        self.slot = Some(slot.map_err(|_| Broken)?);
        let whole = self.in_flight.tokens.len() as u64;
        let (cached, sharing) = self.in_flight.prefill();
        self.cached = cached.min(self.prompt);
        let time = self.settings().prefill_time(whole - cached, sharing);
        self.due = Instant::now() + time.mul_f64(self.admitted.slowdown);
        self.alive(tokio::time::sleep_until(self.due.into()))
            .await?;
        if self.admitted.poison {
            self.in_flight.state.crash(None);
            return Err(Broken);
        }
        self.in_flight.decode();
        Ok(())
    }

    /// Waits for `work`, unless the engine crashes or the caller hangs up. On a silent
    /// connection the wait does not end otherwise.
    async fn alive<T>(&self, work: impl Future<Output = T>) -> Result<T, Broken> {
        let work = async {
            let result = work.await;
            if self.conn.is_silent() {
                std::future::pending::<()>().await;
            }
            result
        };
        tokio::select! {
            biased;
            () = self.admitted.life.ended.cancelled() => Err(Broken),
            () = self.conn.closed.cancelled() => Err(Broken),
            result = work => Ok(result),
        }
    }

    fn settings(&self) -> &EngineSettings {
        &self.in_flight.state.settings
    }

    fn chunk(&self, word: &str) -> Bytes {
        let delta = match self.next == self.offset + 1 {
            true => json!({ "role": "assistant", "content": word }),
            false => json!({ "content": word }),
        };
        let mut chunk = self.event(&delta, None);
        chunk.push_str("\n\n");
        chunk.into()
    }

    fn last_chunk(&self) -> Bytes {
        let mut chunk = self.event(&json!({}), Some(self.usage()));
        chunk.push_str("\n\ndata: [DONE]\n\n");
        chunk.into()
    }

    fn event(&self, delta: &Value, usage: Option<Value>) -> String {
        let finish = usage.is_some().then_some("length");
        let mut event = json!({
            "id": self.id(),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.admitted.model.id,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        if let Some(usage) = usage {
            event["usage"] = usage;
        }
        format!("data: {event}")
    }

    fn id(&self) -> String {
        format!("chatcmpl-{}", self.seed)
    }

    fn usage(&self) -> Value {
        let output = self.next - self.offset;
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": output,
            "total_tokens": self.prompt + output,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}
