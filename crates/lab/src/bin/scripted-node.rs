//! A node that breaks one rule, told by the name that it is started under (`scripted-node-drain` and so on), to see
//! that the referee sees it. As `scripted-node-fair` it keeps them all: one turn of plain round robin for each
//! request, and the answer passed on, which also makes it the least that a node can be.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use endpoints::{Health, Host, MessageSplitter, Update};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

type Failure = Box<dyn std::error::Error>;
type Answer = Response<Full<Bytes>>;

/// Every so many requests the script is followed.
const NOW_AND_THEN: usize = 10;

struct Node {
    script: String,
    hosts: RefCell<BTreeMap<String, Host>>,
    /// How many servers the first list had.
    first: Cell<usize>,
    turn: Cell<usize>,
    idle: RefCell<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
    hoard: RefCell<Vec<Vec<u8>>>,
    /// Its name, where it is to stand alone.
    name: String,
    /// The newest agreed epoch and how many changes have ended, where a control group tells.
    agreed: Cell<Option<(u64, usize)>>,
}

fn main() -> Result<(), Failure> {
    let own = std::env::args().next().unwrap_or_default();
    let script = own.rsplit('-').next().unwrap_or_default().to_string();
    let config: Value = serde_json::from_str(&std::fs::read_to_string(std::env::var("BALANCER_CONFIG")?)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(script, config))
}

async fn serve(script: String, config: Value) -> Result<(), Failure> {
    let address = |name: &str| -> Result<SocketAddr, Failure> {
        Ok(config[name].as_str().ok_or(format!("{name} is missing"))?.parse()?)
    };
    let node = Rc::new(Node {
        script,
        hosts: RefCell::default(),
        first: Cell::new(0),
        turn: Cell::new(0),
        idle: RefCell::default(),
        hoard: RefCell::default(),
        name: config["name"].as_str().unwrap_or_default().to_string(),
        agreed: Cell::new(None),
    });
    let listener = TcpListener::bind(address("listen")?).await?;
    spawn_local(node.clone().follow(address("discovery")?));
    if let Some(replica) = config["control"]["replicas"][0].as_str() {
        spawn_local(node.clone().ask_group(replica.parse()?));
    }
    loop {
        let (stream, _) = listener.accept().await?;
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(|request| node.answer(request));
            // A client that breaks off has no more to say.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl Node {
    async fn follow(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            if let Err(error) = self.watch(discovery).await {
                eprintln!("discovery: {error}");
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Asks the control group now and then what is agreed.
    async fn ask_group(self: Rc<Self>, replica: SocketAddr) {
        loop {
            if let Err(error) = self.learn(replica).await {
                eprintln!("control: {error}");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn learn(&self, replica: SocketAddr) -> Result<(), Failure> {
        let answer = self.send(Some(replica), Request::get("/v1/policy").body(Full::default())?).await?;
        let told: Value = serde_json::from_slice(&answer.into_body().collect().await?.to_bytes())?;
        let (known, _) = self.agreed.get().unwrap_or_default();
        let ended = told["ended"].as_array().map_or(0, Vec::len);
        self.agreed.set(Some((known.max(told["epoch"].as_u64().unwrap_or(0)), ended)));
        Ok(())
    }

    /// The epoch that a request is admitted under.
    fn epoch(&self) -> Option<u64> {
        let (epoch, ended) = self.agreed.get()?;
        Some(match self.script.as_str() {
            "lag" if self.name == "n1" => 0,
            "early" if ended > 0 => epoch + 1,
            "back" if self.turn.get().is_multiple_of(2) => 0,
            _ => epoch,
        })
    }

    async fn watch(&self, discovery: SocketAddr) -> Result<(), Failure> {
        let (mut send, conn) = handshake(TokioIo::new(TcpStream::connect(discovery).await?)).await?;
        spawn_local(conn);
        let request = Request::get("/v1/endpoints?watch=1&from=0").body(Full::<Bytes>::default())?;
        let mut body = send.send_request(request).await?.into_body();
        let mut lines = MessageSplitter::default();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            lines.push(&data)?;
            for line in lines.by_ref().filter(|line| !line.is_empty()) {
                self.take(Update::parse(&line)?);
            }
        }
        Ok(())
    }

    fn take(&self, update: Update) {
        let mut hosts = self.hosts.borrow_mut();
        if update.whole {
            hosts.clear();
        }
        hosts.extend(update.hosts.into_iter().map(|host| (host.host.clone(), host)));
        if self.first.get() == 0 {
            self.first.set(hosts.len());
        }
    }

    /// The server whose turn it is.
    fn next(&self, turn: usize) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let ready = |h: &&Host| h.health == Health::Active || (self.script == "drain" && h.dial.is_some());
        let ready: Vec<&Host> = hosts.values().filter(ready).collect();
        let pushed = self.script == "push";
        let youngest =
            ready.iter().max_by(|a, b| a.born_ms.total_cmp(&b.born_ms)).filter(|h| pushed && h.born_ms > 0.0);
        if self.script == "stray" && turn.is_multiple_of(NOW_AND_THEN) {
            return self.unlisted(&hosts);
        }
        youngest.or_else(|| ready.get(turn % ready.len().max(1)))?.dial
    }

    /// Where the first server that is started later listens.
    fn unlisted(&self, hosts: &BTreeMap<String, Host>) -> Option<SocketAddr> {
        let lowest = hosts.values().filter_map(|h| h.dial).min()?;
        let IpAddr::V4(ip) = lowest.ip() else { return None };
        let ip = Ipv4Addr::from(u32::from(ip) + self.first.get() as u32);
        Some(SocketAddr::new(ip.into(), lowest.port()))
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, std::io::Error> {
        let epoch = self.epoch();
        let mut answer = self.serve(request).await?;
        if let Some(epoch) = epoch {
            answer.headers_mut().insert("x-policy-epoch", epoch.into());
        }
        Ok(answer)
    }

    async fn serve(&self, request: Request<Incoming>) -> Result<Answer, std::io::Error> {
        if request.uri().path() == "/ready" {
            let ready = !self.hosts.borrow().is_empty();
            return Ok(plain(
                if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE },
                Bytes::new(),
            ));
        }
        let turn = self.turn.get() + 1;
        self.turn.set(turn);
        if self.script == "close" && turn % NOW_AND_THEN < 2 {
            // A client sends a request once more where a kept connection ends, so the next one meets the same.
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        if turn.is_multiple_of(NOW_AND_THEN) {
            match self.script.as_str() {
                "mute" => std::future::pending().await,
                "invent" => return Ok(plain(StatusCode::OK, Bytes::from_static(b"all is well"))),
                "quit" if turn > 5 * NOW_AND_THEN => std::process::exit(0),
                "grow" => self.hoard.borrow_mut().push(vec![1; 8 << 20]),
                _ => {}
            }
        }
        let wait = request.headers().get("x-remaining-ms").and_then(|v| v.to_str().ok()?.parse().ok());
        let wait = Duration::from_millis(wait.unwrap_or(1000));
        match tokio::time::timeout(wait, self.pass_on(request, turn)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Ok(plain(StatusCode::BAD_GATEWAY, Bytes::from(error.to_string()))),
            Err(_) => Ok(plain(StatusCode::GATEWAY_TIMEOUT, Bytes::new())),
        }
    }

    async fn pass_on(&self, request: Request<Incoming>, turn: usize) -> Result<Answer, Failure> {
        let (mut head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        if self.script == "babble" && turn.is_multiple_of(NOW_AND_THEN) {
            head.headers.insert("x-txn", "feedfeedfeedfeed".parse()?);
        }
        if self.script == "repeat" && turn.is_multiple_of(NOW_AND_THEN) {
            self.send(self.next(turn), Request::from_parts(head.clone(), Full::new(body.clone()))).await?;
        }
        self.send(self.next(turn), Request::from_parts(head, Full::new(body))).await
    }

    async fn send(&self, to: Option<SocketAddr>, request: Request<Full<Bytes>>) -> Result<Answer, Failure> {
        let to = to.ok_or("no server")?;
        let idle = self.idle.borrow_mut().entry(to).or_default().pop().filter(SendRequest::is_ready);
        let mut send = match idle {
            Some(send) => send,
            None => {
                let (send, conn) = handshake(TokioIo::new(TcpStream::connect(to).await?)).await?;
                spawn_local(conn);
                send
            }
        };
        let answer = send.send_request(request).await?;
        let status = answer.status();
        let body = answer.into_body().collect().await?.to_bytes();
        self.idle.borrow_mut().entry(to).or_default().push(send);
        Ok(plain(status, body))
    }
}

fn plain(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}
