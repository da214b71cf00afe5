//! Tasks that run for as long as the process does.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use emberturn::tasks;
use tokio::sync::mpsc;

#[tokio::test]
async fn task_that_panics_does_not_stay_away() {
    let (sender, mut ends) = mpsc::unbounded_channel();
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = starts.clone();
    tasks::keep("panics twice", move || {
        let (sender, start) = (sender.clone(), counted.fetch_add(1, Ordering::SeqCst));
        async move {
            assert!(start >= 2, "start {start}");
            sender.send(start).unwrap();
        }
    });
    assert_eq!(ends.recv().await, Some(2));
    // One that returns has come to its end.
    assert_eq!(ends.recv().await, None);
    assert_eq!(starts.load(Ordering::SeqCst), 3);
}
