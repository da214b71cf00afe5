//! Tests that an answer that was broken off reaches its caller as broken off, and a complete one as complete,
//! whatever marks its end.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::time::Duration;

use emberturn::decide::completeness::{BreakCause, EndFacts, Framing, StopState, judge_end};
use emberturn::units::UnixMillis;
use platform::{Act, Moves, Reply, StandIn, TestRelay, as_leaving, events};
use yare::parameterized;

/// Asks for a stream at a server that announces that it leaves as soon as it has the request, beside a second server.
async fn ask_while_leaving(route: &str, moves: Moves, act: Act) -> (Reply, StandIn, StandIn) {
    ask_acts_while_leaving(route, moves, &[act, Act::Events(6)]).await
}

async fn ask_acts_while_leaving(
    route: &str,
    moves: Moves,
    acts: &[Act],
) -> (Reply, StandIn, StandIn) {
    let mut first = StandIn::start_moving("i-1", moves, acts).await;
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = TestRelay::start(&[&first]).await;
    let headers = "Api-Key: key-a\r\nToken-Usage: 1000,100000\r\n";
    let request = relay.ask_with("POST", route, headers);
    let leaving = async {
        first.wait_seen(1).await;
        relay.list_as(vec![as_leaving(first.listed("svc")), second.listed("svc")]);
    };
    let (reply, ()) = tokio::join!(request, leaving);
    (reply, first, second)
}

async fn assert_moved(route: &str) {
    let (reply, first, second) =
        ask_while_leaving(route, Moves::Copied, Act::UnframedUntilMoved(2)).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
    let moved = &second.seen()[0];
    assert_eq!(moved.headers["kv-from"], format!("{}/h-1", first.addr));
    assert_eq!(moved.headers["last-event-id"], "2");
}

#[tokio::test]
async fn stream_without_length_that_stops_to_be_moved_is_not_complete() {
    assert_moved("stream").await;
}

#[tokio::test]
async fn resumable_stream_without_length_that_stops_to_be_moved_is_not_complete() {
    assert_moved("resumable").await;
}

#[tokio::test]
async fn stream_without_length_that_found_no_room_elsewhere_continues_on_its_server() {
    let (reply, first, second) =
        ask_while_leaving("stream", Moves::NoRoom, Act::UnframedUntilMoved(2)).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
    assert_eq!(first.seen()[1].headers["last-event-id"], "2");
    assert!(second.seen().is_empty(), "{:?}", second.seen());
}

#[tokio::test]
async fn stream_that_found_no_room_elsewhere_is_not_stopped_again() {
    let pause = Duration::from_millis(200);
    let acts = [Act::UnframedUntilMoved(2), Act::PauseAfterFirst(6, pause)];
    let (reply, first, _) = ask_acts_while_leaving("stream", Moves::NoRoom, &acts).await;
    assert!(reply.whole, "{reply:?}");
    assert_eq!(first.moves_asked(), 1);
}

#[tokio::test]
async fn stream_without_length_that_ended_before_its_move_is_complete() {
    let (reply, _, second) =
        ask_while_leaving("stream", Moves::NotFound, Act::UnframedUntilMoved(2)).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), true));
    assert!(second.seen().is_empty(), "{:?}", second.seen());
}

/// Asserts that a stream is reported as broken off if its server may have stopped its run.
async fn assert_broken_off(moves: Moves) {
    let (reply, _, second) = ask_while_leaving("stream", moves, Act::UnframedUntilMoved(2)).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), false));
    assert!(second.seen().is_empty(), "{:?}", second.seen());
}

#[tokio::test]
async fn stream_without_length_whose_move_broke_off_is_not_complete() {
    assert_broken_off(Moves::Close).await;
}

#[tokio::test]
async fn stream_without_length_whose_move_is_under_way_is_not_complete() {
    assert_broken_off(Moves::Busy).await;
}

#[tokio::test]
async fn stream_without_length_whose_move_is_unanswered_is_not_complete() {
    assert_broken_off(Moves::Silent).await;
}

#[tokio::test]
async fn resumable_stream_that_may_have_been_stopped_is_resumed() {
    let (reply, _, second) =
        ask_while_leaving("resumable", Moves::Close, Act::UnframedUntilMoved(2)).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
    assert_eq!(second.seen()[0].headers["last-event-id"], "2");
}

/// The server stops the run after the wait for its answer is over.
#[tokio::test]
async fn stream_without_length_that_is_stopped_late_is_not_complete() {
    let act = Act::UnframedLongAfterMove(2, Duration::from_millis(2_500));
    let (reply, _, second) = ask_while_leaving("stream", Moves::Silent, act).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), false));
    assert!(second.seen().is_empty(), "{:?}", second.seen());
}

#[tokio::test]
async fn stream_without_length_is_forwarded_completely() {
    let server = StandIn::start("i-1", &[Act::Unframed(5)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let reply = relay.ask("POST", "stream").await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(5), true));
}

#[tokio::test]
async fn blank_line_behind_the_last_event_does_not_break_a_stream_off() {
    let server = StandIn::start("i-1", &[Act::BlankLineBehind(5)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let reply = relay.ask("POST", "stream").await;
    assert_eq!((reply.status, reply.whole), (200, true));
    assert_eq!(reply.body.trim_end(), events(5).trim_end());
}

/// The server's reply to the move never arrives whole, and the stream goes on after that.
#[tokio::test]
async fn stream_that_pauses_while_its_move_is_unanswered_is_not_cut() {
    let moves = Moves::HeadAfter(Duration::from_millis(500));
    let act = Act::PauseAfterFirst(4, Duration::from_millis(3_000));
    let (reply, _, second) = ask_while_leaving("stream", moves, act).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(4), true));
    assert!(second.seen().is_empty(), "{:?}", second.seen());
}

#[tokio::test]
async fn stream_without_length_of_a_restarted_server_is_not_complete() {
    let mut server = StandIn::start("i-1", &[Act::UnframedUntilMoved(3)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let request = relay.ask("POST", "stream");
    let restart = async {
        server.wait_seen(1).await;
        // An incarnation that began after the box first saw the server is a new one.
        relay.tell_life(&server, UnixMillis::now().0 + 60_000);
        relay.list(&[&server]);
    };
    let (reply, ()) = tokio::join!(request, restart);
    assert!(!reply.whole, "{reply:?}");
}

#[parameterized(
    nothing_known = { StopState::Running, false, Ok(()) },
    server_ended = { StopState::Running, true, Err(BreakCause::ServerEnded) },
    stop_unanswered = { StopState::Unanswered, false, Err(BreakCause::MaybeStopped) },
    stop_unanswered_and_ended = { StopState::Unanswered, true, Err(BreakCause::MaybeStopped) },
    stopped = { StopState::Stopped, false, Err(BreakCause::Stopped) },
)]
fn close_is_the_end_unless_something_shows_a_break(
    stop: StopState,
    server_ended: bool,
    judged: Result<(), BreakCause>,
) {
    let judge = |framing| judge_end(&EndFacts { framing, stop, server_ended });
    assert_eq!(judge(Framing::Close), judged);
    assert_eq!((judge(Framing::Length), judge(Framing::Chunked)), (Ok(()), Ok(())));
}
