//! One caller, from its connection to its close.

use crate::admission::{Admission, CallerId, Stage};
use crate::answer::Answer;
use crate::limits::{MOST_BODY, MOST_DISCARDED, MOST_HEAD};
use crate::line::{Line, Progress};
use crate::operations::{Bite, Operations};
use crate::routes::Route;
use crate::target::target;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};
use tracing::{debug, info};

/// Read at once of what is thrown away behind an answer.
const DISCARD: usize = 2 * 1024;

/// What all callers share.
pub(crate) struct Desk<O> {
    pub(crate) operations: Rc<O>,
    pub(crate) admission: RefCell<Admission>,
    pub(crate) born: Instant,
}

impl<O: Operations> Desk<O> {
    /// The time that admission goes by.
    pub(crate) fn now(&self) -> Duration {
        self.born.elapsed()
    }

    fn bitten(&self, bite: Option<Bite>) {
        if let Some(bite) = bite {
            self.operations.bitten(bite);
        }
    }

    /// A call and the engine it names, done.
    fn operate(&self, route: Route, body: &[u8]) -> Answer {
        let id = match target(body) {
            Ok(id) => id,
            Err(why) => return Answer::bad_body(&why),
        };
        let outcome = match route {
            Route::Cordon => self.operations.cordon(&id),
            _ => self.operations.uncordon(&id),
        };
        info!("operators: {route:?} {id:?}: {outcome:?}");
        Answer::operated(outcome)
    }

    /// Answers a call whose head was understood.
    async fn call(&self, request: Request<Incoming>) -> Answer {
        match Route::of(request.method(), request.uri().path()) {
            Err(astray) => astray.into(),
            Ok(Route::Health) => Answer::health(self.operations.healthy()),
            Ok(Route::Stats) => Answer::stats(self.operations.stats()),
            Ok(route) => match read(request.into_body()).await {
                Ok(body) => self.operate(route, &body),
                Err(answer) => answer,
            },
        }
    }
}

/// A call's body, whole.
async fn read(body: Incoming) -> Result<Bytes, Answer> {
    // A body that says it is too long is not read at all.
    if body.size_hint().lower() > MOST_BODY as u64 {
        return Err(Answer::long_body());
    }
    match Limited::new(body, MOST_BODY).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(Answer::long_body()),
        Err(e) if e.downcast_ref().is_some_and(hyper::Error::is_incomplete_message) => Err(Answer::cut()),
        Err(_) => Err(Answer::bad_body("body: its framing is broken, or it ended before it was whole")),
    }
}

/// A seat that is taken. When it is dropped, whoever waits for it is told.
pub(crate) struct Seat<O> {
    pub(crate) desk: Rc<Desk<O>>,
    pub(crate) id: CallerId,
    pub(crate) leave: Rc<Leave>,
}

/// How a caller is told to go, and tells that it has gone.
#[derive(Debug, Default)]
pub(crate) struct Leave {
    pub(crate) told: Notify,
    pub(crate) gone: Notify,
}

impl<O> Drop for Seat<O> {
    fn drop(&mut self) {
        self.desk.admission.borrow_mut().left(self.id);
        self.leave.gone.notify_one();
    }
}

/// How the HTTP library's part ended.
enum End {
    /// It is done with the connection.
    Over(hyper::Result<()>),
    /// Time ran out in this stage.
    Late(Stage),
    /// Others needed the seat.
    Displaced,
}

impl<O: Operations> Seat<O> {
    /// Serves the caller's one call and sees it off.
    pub(crate) async fn attend(&self, stream: TcpStream) {
        let progress = Rc::new(Progress::default());
        let call = |request: Request<Incoming>| {
            let progress = Rc::clone(&progress);
            async move {
                progress.understand();
                let answer = self.desk.call(request).await;
                self.desk.bitten(answer.bite);
                self.desk.admission.borrow_mut().answering(self.desk.now(), self.id);
                Ok::<Response<Full<Bytes>>, Infallible>(answer.response())
            }
        };
        let heard = || self.desk.admission.borrow_mut().heard(self.desk.now(), self.id);
        let line = TokioIo::new(Line::new(stream, Rc::clone(&progress), heard));
        let mut http = http1::Builder::new();
        // One call a connection. A caller that ends its side behind its call is answered all the same.
        http.keep_alive(false).half_close(true).header_read_timeout(None).max_buf_size(MOST_HEAD);
        let mut connection = http.serve_connection(line, service_fn(call));
        let end = loop {
            let end = select! {
                // What has come is read before the clock is asked: a good call must not be late because the loop was.
                biased;
                over = &mut connection => End::Over(over),
                _ = self.leave.told.notified() => End::Displaced,
                _ = self.overdue() => match self.late() {
                    Some(stage) => End::Late(stage),
                    // The stage moved on meanwhile, and has its own time.
                    None => continue,
                },
            };
            break end;
        };
        let stream = connection.into_parts().io.into_inner().into_stream();
        self.see_off(stream, end, &progress).await;
    }

    /// Ends when the time of the caller's present stage is over.
    async fn overdue(&self) {
        let due = self.desk.admission.borrow().due(self.id);
        match due {
            Some(due) => sleep_until(self.desk.born + due).await,
            // It was displaced, and is told so.
            None => pending().await,
        }
    }

    fn late(&self) -> Option<Stage> {
        self.desk.admission.borrow().overdue(self.desk.now(), self.id)
    }

    /// Tells the caller what it was not told yet, and closes the connection.
    async fn see_off(&self, mut stream: TcpStream, end: End, progress: &Progress) {
        let answer = match end {
            // The answer is with the kernel.
            End::Over(Ok(())) if progress.is_understood() => None,
            // It came and went without a word, as checks of an open port do.
            End::Over(Ok(())) => return,
            End::Over(Err(e)) if progress.is_understood() => {
                debug!("operators: answer not written: {e}");
                return;
            }
            End::Over(Err(e)) if e.is_parse_too_large() => Some(Answer::long_head()),
            End::Over(Err(e)) if e.is_parse() => Some(Answer::garbage()),
            End::Over(Err(e)) if e.is_incomplete_message() && progress.began() => Some(Answer::cut()),
            End::Over(Err(_)) => return,
            End::Late(Stage::Calling) => Some(Answer::late()),
            End::Late(_) => {
                self.desk.bitten(Some(Bite::AnswerLate));
                // Guards against answers that nobody takes: the kernel would keep them long after the close.
                let _ = stream.set_zero_linger();
                return;
            }
            End::Displaced => {
                let answer = Answer::displaced();
                self.desk.bitten(answer.bite);
                if progress.began() && !progress.is_understood() {
                    // Nothing is waited for: a newcomer needs the seat. Who said nothing is owed no word.
                    let _ = stream.try_write(&answer.bytes());
                }
                return;
            }
        };
        if let Some(answer) = answer {
            self.desk.bitten(answer.bite);
            debug!("operators: {} {:?}", answer.status, answer.text);
            self.desk.admission.borrow_mut().answering(self.desk.now(), self.id);
            let (time, bytes) = (self.left_over(), answer.bytes());
            select! {
                biased;
                written = timeout(time, stream.write_all(&bytes)) => match written {
                    Ok(Ok(())) => {}
                    _ => return,
                },
                _ = self.leave.told.notified() => return,
            }
        }
        self.linger(stream).await;
    }

    /// Time until the present stage is due.
    fn left_over(&self) -> Duration {
        let due = self.desk.admission.borrow().due(self.id);
        due.unwrap_or(Duration::ZERO).saturating_sub(self.desk.now())
    }

    /// Ends this side, and waits a little for the caller's end. Guards against a reset that takes the answer with it: the
    /// kernel sends one when a connection is closed with bytes on it that nobody read.
    async fn linger(&self, mut stream: TcpStream) {
        self.desk.admission.borrow_mut().answered(self.desk.now(), self.id);
        if stream.shutdown().await.is_err() {
            return;
        }
        let discard = async {
            let (mut buffer, mut read) = (vec![0; DISCARD], 0);
            while read < MOST_DISCARDED {
                match stream.read(&mut buffer).await {
                    Ok(n) if n > 0 => read += n,
                    _ => return,
                }
            }
        };
        select! {
            _ = timeout(self.left_over(), discard) => {}
            _ = self.leave.told.notified() => {}
        }
    }
}
