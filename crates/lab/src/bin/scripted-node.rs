//! A scripted node that breaks one rule, chosen by the name under which the program is started (`scripted-node-drain`
//! and so on), to test that the referee reports it. As `scripted-node-fair` it breaks none: plain round robin with one
//! attempt for each request, whose answer is passed on; it is also the minimal node.

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

type BoxError = Box<dyn std::error::Error>;
type HttpResponse = Response<Full<Bytes>>;

/// The script is applied to every n-th request.
const SCRIPT_INTERVAL: usize = 10;

/// State of the node.
struct Node {
    script: String,
    hosts: RefCell<BTreeMap<String, Host>>,
    /// Number of servers in the first list.
    initial_servers: Cell<usize>,
    turn: Cell<usize>,
    idle: RefCell<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
    leaked: RefCell<Vec<Vec<u8>>>,
    /// Its name, for scripts that apply to one node only.
    name: String,
    /// The newest agreed epoch and the number of ended changes, once the control group has answered.
    agreed: Cell<Option<(u64, usize)>>,
}

fn main() -> Result<(), BoxError> {
    let program = std::env::args().next().unwrap_or_default();
    let script = program.rsplit('-').next().unwrap_or_default().to_string();
    let config: Value = serde_json::from_str(&std::fs::read_to_string(std::env::var("BALANCER_CONFIG")?)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(script, config))
}

async fn serve(script: String, config: Value) -> Result<(), BoxError> {
    let address = |name: &str| -> Result<SocketAddr, BoxError> {
        Ok(config[name].as_str().ok_or(format!("{name} is missing"))?.parse()?)
    };
    let node = Rc::new(Node {
        script,
        hosts: RefCell::default(),
        initial_servers: Cell::new(0),
        turn: Cell::new(0),
        idle: RefCell::default(),
        leaked: RefCell::default(),
        name: config["name"].as_str().unwrap_or_default().to_string(),
        agreed: Cell::new(None),
    });
    let listener = TcpListener::bind(address("listen")?).await?;
    spawn_local(node.clone().follow_discovery(address("discovery")?));
    if let Some(replica) = config["control"]["replicas"][0].as_str() {
        spawn_local(node.clone().poll_control_group(replica.parse()?));
    }
    loop {
        let (stream, _) = listener.accept().await?;
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(|request| node.respond(request));
            // An error means that the client closed the connection.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl Node {
    /// Keeps a watch of the list open.
    async fn follow_discovery(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            if let Err(error) = self.watch(discovery).await {
                eprintln!("discovery: {error}");
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Polls the control group for the agreed policy.
    async fn poll_control_group(self: Rc<Self>, replica: SocketAddr) {
        loop {
            if let Err(error) = self.fetch_policy(replica).await {
                eprintln!("control: {error}");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Reads the agreed epoch and the number of ended changes.
    async fn fetch_policy(&self, replica: SocketAddr) -> Result<(), BoxError> {
        let answer = self.send(Some(replica), Request::get("/v1/policy").body(Full::default())?).await?;
        let policy: Value = serde_json::from_slice(&answer.into_body().collect().await?.to_bytes())?;
        let (known_epoch, _) = self.agreed.get().unwrap_or_default();
        let ended = policy["ended"].as_array().map_or(0, Vec::len);
        self.agreed.set(Some((known_epoch.max(policy["epoch"].as_u64().unwrap_or(0)), ended)));
        Ok(())
    }

    /// The epoch that is reported for a request.
    fn epoch(&self) -> Option<u64> {
        let (epoch, ended) = self.agreed.get()?;
        Some(match self.script.as_str() {
            "lag" if self.name == "n1" => 0,
            "early" if ended > 0 => epoch + 1,
            "back" if self.turn.get().is_multiple_of(2) => 0,
            _ => epoch,
        })
    }

    /// Reads list updates until the watch closes.
    async fn watch(&self, discovery: SocketAddr) -> Result<(), BoxError> {
        let (mut send, conn) = handshake(TokioIo::new(TcpStream::connect(discovery).await?)).await?;
        spawn_local(conn);
        let request = Request::get("/v1/endpoints?watch=1&from=0").body(Full::<Bytes>::default())?;
        let mut body = send.send_request(request).await?.into_body();
        let mut lines = MessageSplitter::default();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            lines.push(&data)?;
            for line in lines.by_ref().filter(|line| !line.is_empty()) {
                self.apply_update(Update::parse(&line)?);
            }
        }
        Ok(())
    }

    fn apply_update(&self, update: Update) {
        let mut hosts = self.hosts.borrow_mut();
        if update.whole {
            hosts.clear();
        }
        hosts.extend(update.hosts.into_iter().map(|host| (host.host.clone(), host)));
        if self.initial_servers.get() == 0 {
            self.initial_servers.set(hosts.len());
        }
    }

    /// The server for this request, by round robin or by the script.
    fn pick_server(&self, turn: usize) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let usable = |h: &&Host| h.health == Health::Active || (self.script == "drain" && h.dial.is_some());
        let usable: Vec<&Host> = hosts.values().filter(usable).collect();
        let prefers_youngest = self.script == "push";
        let youngest = usable
            .iter()
            .max_by(|a, b| a.born_ms.total_cmp(&b.born_ms))
            .filter(|h| prefers_youngest && h.born_ms > 0.0);
        if self.script == "stray" && turn.is_multiple_of(SCRIPT_INTERVAL) {
            return self.unlisted_server(&hosts);
        }
        youngest.or_else(|| usable.get(turn % usable.len().max(1)))?.dial
    }

    /// Address of the first server that is started later, which is not in the list.
    fn unlisted_server(&self, hosts: &BTreeMap<String, Host>) -> Option<SocketAddr> {
        let lowest = hosts.values().filter_map(|h| h.dial).min()?;
        let IpAddr::V4(ip) = lowest.ip() else { return None };
        let ip = Ipv4Addr::from(u32::from(ip) + self.initial_servers.get() as u32);
        Some(SocketAddr::new(ip.into(), lowest.port()))
    }

    /// Answers a request, with the epoch that the script reports.
    async fn respond(&self, request: Request<Incoming>) -> Result<HttpResponse, std::io::Error> {
        let epoch = self.epoch();
        let mut answer = self.serve(request).await?;
        if let Some(epoch) = epoch {
            answer.headers_mut().insert("x-policy-epoch", epoch.into());
        }
        Ok(answer)
    }

    async fn serve(&self, request: Request<Incoming>) -> Result<HttpResponse, std::io::Error> {
        if request.uri().path() == "/ready" {
            let ready = !self.hosts.borrow().is_empty();
            return Ok(response(
                if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE },
                Bytes::new(),
            ));
        }
        let turn = self.turn.get() + 1;
        self.turn.set(turn);
        if self.script == "close" && turn % SCRIPT_INTERVAL < 2 {
            // A client resends a request once if a kept connection closes, so the next request gets the same.
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        if turn.is_multiple_of(SCRIPT_INTERVAL) {
            match self.script.as_str() {
                "mute" => std::future::pending().await,
                "invent" => return Ok(response(StatusCode::OK, Bytes::from_static(b"all is well"))),
                "quit" if turn > 5 * SCRIPT_INTERVAL => std::process::exit(0),
                "grow" => self.leaked.borrow_mut().push(vec![1; 8 << 20]),
                _ => {}
            }
        }
        let remaining_ms =
            request.headers().get("x-remaining-ms").and_then(|v| v.to_str().ok()?.parse().ok());
        let timeout = Duration::from_millis(remaining_ms.unwrap_or(1000));
        match tokio::time::timeout(timeout, self.forward(request, turn)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Ok(response(StatusCode::BAD_GATEWAY, Bytes::from(error.to_string()))),
            Err(_) => Ok(response(StatusCode::GATEWAY_TIMEOUT, Bytes::new())),
        }
    }

    /// Forwards a request to a server, as the script has it.
    async fn forward(&self, request: Request<Incoming>, turn: usize) -> Result<HttpResponse, BoxError> {
        let (mut head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        if self.script == "babble" && turn.is_multiple_of(SCRIPT_INTERVAL) {
            head.headers.insert("x-txn", "feedfeedfeedfeed".parse()?);
        }
        if self.script == "repeat" && turn.is_multiple_of(SCRIPT_INTERVAL) {
            self.send(self.pick_server(turn), Request::from_parts(head.clone(), Full::new(body.clone())))
                .await?;
        }
        self.send(self.pick_server(turn), Request::from_parts(head, Full::new(body))).await
    }

    /// Sends a request to a server on an idle or a new connection.
    async fn send(
        &self,
        to: Option<SocketAddr>,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpResponse, BoxError> {
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
        Ok(response(status, body))
    }
}

fn response(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}
