//! Boxes of which one has lost its paths to the backend servers, and sends through the other.

use emberturn::clock;
use emberturn::decide::proxies::Proxy;
use emberturn::relay::list::Server;

use crate::link::{Link, LinkFault};
use crate::platform::{Act, PATIENCE, Reply, StandIn, TestRelay};

/// A box behind links that can fail, a box that reaches the servers itself, and the servers.
pub struct Fleet {
    /// The box behind the links.
    pub cut: TestRelay,
    /// The box that reaches the servers itself.
    pub other: TestRelay,
    /// The links of the first box, one for each server.
    pub links: Vec<Link>,
    /// The servers.
    pub servers: Vec<StandIn>,
}

/// How a box is named to another one that it helps.
pub fn proxy(relay: &TestRelay, name: &str) -> Proxy {
    Proxy { box_id: name.parse().unwrap(), addr: *relay.relay.forward_addr.get().unwrap() }
}

/// Lists each server at the address of its link.
pub fn listed_behind(servers: &[StandIn], links: &[Link]) -> Vec<Server> {
    let behind =
        servers.iter().zip(links).map(|(it, link)| Server { addr: link.addr, ..it.listed("svc") });
    behind.collect()
}

impl Fleet {
    /// Starts boxes and servers; all links work.
    pub async fn start(acts: &[Act]) -> Self {
        let mut servers = Vec::new();
        let mut links = Vec::new();
        for name in ["i-1", "i-2", "i-3"] {
            let server = StandIn::start(name, acts).await;
            links.push(Link::start(server.addr).await);
            servers.push(server);
        }
        let other = TestRelay::start(&servers.iter().collect::<Vec<_>>()).await;
        let cut = TestRelay::start(&[]).await;
        cut.list_as(listed_behind(&servers, &links));
        cut.relay.proxies().assign(vec![proxy(&other, "other")]);
        Self { cut, other, links, servers }
    }

    /// Has all links fail.
    pub async fn fail(&mut self, fault: LinkFault) {
        for link in &mut self.links {
            link.fail(fault).await;
        }
    }

    /// Has all links work again.
    pub async fn heal(&mut self) {
        for link in &mut self.links {
            link.heal().await;
        }
    }

    /// Whether the first box knows that its path is lost.
    pub fn is_lost(&self) -> bool {
        self.cut.relay.paths().is_lost(&"svc".parse().unwrap())
    }

    /// Sends requests that may fail until the box knows that its path is lost.
    pub async fn lose(&mut self, fault: LinkFault) {
        self.fail(fault).await;
        // No request is given up, as it could still arrive later.
        let asking = async {
            while !self.is_lost() {
                self.ask("safe").await;
            }
        };
        tokio::time::timeout(PATIENCE, asking).await.expect("the path is lost in time");
    }

    /// Sends a request to the box that was cut off, which has just heard from its leader.
    pub async fn ask(&self, route: &str) -> Reply {
        self.refresh();
        self.cut.ask("POST", route).await
    }

    /// Has the box that was cut off hear from its leader.
    pub fn refresh(&self) {
        self.cut.board.record_fresh(clock::now());
        self.cut.allow(1e9);
    }

    /// The number of requests that reached servers.
    pub fn arrivals(&self) -> usize {
        self.servers.iter().map(|server| server.seen().len()).sum()
    }
}
