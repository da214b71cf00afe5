//! Runs one stand-in as a process of its own and prints the address it listens on.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::platform::Platform;
use emberturn_fakes::service::Service;
use eyre::{Result, WrapErr};
use tokio::net::TcpListener;

/// Stand-ins for what emberturn meets.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// A model engine.
    #[bpaf(command)]
    Engine {
        /// Address to listen on.
        #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
        listen: SocketAddr,
        /// Streams that generate at the same time.
        #[bpaf(argument("N"), fallback(16), display_fallback)]
        slots: usize,
        /// Microseconds per uncached prompt token.
        #[bpaf(argument("US"), fallback(50), display_fallback)]
        prefill_us: u64,
        /// Microseconds between tokens of a stream that runs alone.
        #[bpaf(argument("US"), fallback(2000), display_fallback)]
        decode_us: u64,
    },
    /// A plain service.
    #[bpaf(command)]
    Service {
        /// Address to listen on.
        #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
        listen: SocketAddr,
    },
    /// The platform: box list and cloud API.
    #[bpaf(command)]
    Platform {
        /// Address to listen on.
        #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
        listen: SocketAddr,
    },
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::main]
async fn main() -> Result<()> {
    match command().run() {
        Command::Engine { listen, slots, prefill_us, decode_us } => {
            let listener = bind(listen).await?;
            let prefill = Duration::from_micros(prefill_us);
            let decode = Duration::from_micros(decode_us);
            let options = Options { slots, prefill, decode, ..Options::default() };
            Engine::new(options).serve(listener).await;
        }
        Command::Service { listen } => {
            Service::new(Duration::ZERO).serve(bind(listen).await?).await;
        }
        Command::Platform { listen } => Platform::default().serve(bind(listen).await?).await,
    }
    Ok(())
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).await.wrap_err_with(|| format!("listen on {addr}"))?;
    println!("event=listening addr={}", listener.local_addr()?);
    Ok(listener)
}
