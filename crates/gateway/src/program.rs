//! Process start-up and shutdown: settings, logs, signals and exit codes.

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::{MissedTickBehavior, interval},
};

use crate::{
    accept,
    control_service::ControlService,
    duties,
    duty_settings::DutySettings,
    follow,
    follow::StoreFollower,
    gateway::Gateway,
    header_names::HeaderNames,
    logs, meters, pause, peers, process_proof,
    settings::Settings,
    socket, stop,
    store::{Decoders, Store},
};

/// Exit code for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;
/// Interval at which expired idle connections to endpoints are closed.
const POOL_EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the settings file is reread without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(10);

/// Runs an instance until it is told to stop. `connect` creates the store client, `connect_control` that of
/// the control service.
pub fn run<S: Store, C: ControlService>(
    path: &Path,
    names: HeaderNames,
    decoders: Decoders,
    connect: fn(&Settings) -> S,
    connect_control: fn(&DutySettings) -> C,
) -> ExitCode {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, &error.to_string()),
    };
    let guard = match logs::init(&settings.log) {
        Ok(guard) => guard,
        Err(message) => return fail(EXIT_USAGE, &message),
    };
    meters::install();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let clients = Clients { connect, connect_control };
    let result = match runtime {
        Ok(runtime) => runtime.block_on(serve(path.to_owned(), settings, names, decoders, clients)),
        Err(error) => Err(error),
    };
    drop(guard);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(1, &format!("cannot start: {error}")),
    }
}

/// How to create the clients of the deployment's services.
struct Clients<S, C> {
    connect: fn(&Settings) -> S,
    connect_control: fn(&DutySettings) -> C,
}

async fn serve<S: Store, C: ControlService>(
    path: PathBuf,
    mut settings: Settings,
    names: HeaderNames,
    decoders: Decoders,
    clients: Clients<S, C>,
) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let callers = socket::listen(settings.listen)?;
    let ready = socket::listen(settings.ready_listen)?;
    let control = socket::listen(settings.control_listen)?;
    // Port 0 binds any free port; peers need the real one.
    settings.listen = callers.local_addr()?;
    settings.ready_listen = ready.local_addr()?;
    settings.control_listen = control.local_addr()?;
    tracing::info!(
        instance = %settings.instance,
        availability_zone = %settings.availability_zone,
        listen = %settings.listen,
        ready_listen = %settings.ready_listen,
        control_listen = %settings.control_listen,
        store = %settings.store,
        grace_s = settings.stop.grace_s,
        "start"
    );
    let store = Arc::new((clients.connect)(&settings));
    let gateway = Arc::new(Gateway::new(settings, names, decoders.report));
    let follower = Arc::new(StoreFollower::new(Arc::clone(&gateway), decoders));
    tokio::spawn(follow::configuration(Arc::clone(&follower), Arc::clone(&store)));
    tokio::spawn(follow::endpoints(Arc::clone(&follower), Arc::clone(&store)));
    tokio::spawn(follow::wanted_endpoints(Arc::clone(&follower), Arc::clone(&store)));
    duties::spawn(&gateway, &store, clients.connect_control);
    tokio::spawn(peers::run(Arc::clone(&follower), store));
    tokio::spawn(accept::callers(Arc::clone(&gateway), callers));
    tokio::spawn(accept::readiness(Arc::clone(&gateway), ready));
    tokio::spawn(accept::control(follower, control));
    tokio::spawn(expire_connections(Arc::clone(&gateway)));
    tokio::spawn(pause::watch(Arc::clone(&gateway)));
    tokio::spawn(reload_settings(path, gateway.settings.log.clone(), hangup));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop::stop(&gateway).await;
    Ok(())
}

async fn expire_connections(gateway: Arc<Gateway>) {
    let mut ticks = interval(POOL_EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for endpoint in gateway.pool.expire() {
            process_proof::record_disconnect(&gateway, &endpoint);
        }
    }
}

/// Rereads the settings on `SIGHUP` and at intervals. Only the log filter takes effect while the
/// instance runs; other changes need a restart.
async fn reload_settings(
    path: PathBuf,
    mut filter: String,
    mut hangup: tokio::signal::unix::Signal,
) {
    loop {
        tokio::select! {
            _ = hangup.recv() => tracing::info!("reload"),
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
        }
        match Settings::load(&path) {
            Ok(settings) if settings.log == filter => {}
            Ok(settings) => {
                tracing::info!(log = settings.log, "settings changed");
                logs::set_filter(&settings.log);
                filter = settings.log;
            }
            Err(error) => {
                tracing::warn!(%error, "cannot reload the settings; keeping the current ones")
            }
        }
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("tanagergauge: {message}");
    ExitCode::from(code)
}
