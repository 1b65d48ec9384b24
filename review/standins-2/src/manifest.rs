//! The operator's manifest.

/// Host of all routes.
pub const HOST: &str = "booth.example";

/// A route.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub goal_ms: u64,
    pub attempts: u32,
    /// Further fields, which begin with a comma unless there are none.
    pub more: &'a str,
}

/// JSON of a manifest. `tenants` are the elements of the list of tenants.
pub fn manifest(version: u64, routes: &[Route<'_>], tenants: &str) -> String {
    let route = |it: &Route<'_>| {
        let Route { name, kind, service, timeout_ms, goal_ms, attempts, more } = it;
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout_ms},"goalMs":{goal_ms},"priority":1,"service":"{service}","attempts":{attempts},"public":false{more}}}"#
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"tekstur","healthPath":"/healthz","maxConns":610,"protocol":"h1","tls":false,"engine":{{"slots":128,"kvCapacity":525395,"stride":3}}}},{{"name":"puldiabi","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#,
        routes.join(",")
    )
}
