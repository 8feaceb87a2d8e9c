//! The platform client against the documented interface, and `accept` against
//! a platform that loses answers.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use dotterelhinge::platform::{self, Client, Condition, Http, Kind, Memory, Outcome, Store, Write};
use dotterelhinge_policy::clock;
use googletest::prelude::*;
use proptest::prelude::{Strategy, any};

fn client(store: Rc<dyn Store>) -> Client {
    let settings = platform::Settings {
        initial_backoff: Duration::ZERO,
        ..platform::Settings::default()
    };
    Client::new(store, Arc::new(clock::System), settings)
}

fn version(accept: &Outcome) -> Option<u64> {
    match accept {
        Outcome::Accepted { version, .. } => Some(*version),
        _ => None,
    }
}

/// Guards against an accepted edit that is reported as failed or is written
/// twice when the answer to its write is lost.
#[googletest::test]
#[actix_web::test]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let store = Rc::new(Memory::new());
    store.lose_response();
    let client = client(store.clone());
    let accepted = client.submit(0, "{}", "ana", "first").await.unwrap();
    expect_that!(version(&accepted), some(eq(1)));
    expect_that!(store.applied_transactions(), eq(1));
    let head = client.head().await.unwrap().unwrap();
    expect_that!(client.document(&head.hash).await.unwrap(), eq("{}"));
}

/// Guards against a lost request that is taken for an accepted edit, and
/// against giving up on a rate limit.
#[googletest::test]
#[actix_web::test]
async fn a_lost_request_and_a_rate_limit_are_repeated() {
    let store = Rc::new(Memory::new());
    store.lose_request();
    store.exceed_rate_limit();
    let client = client(store.clone());
    let accepted = client.submit(0, "{}", "ana", "first").await.unwrap();
    expect_that!(version(&accepted), some(eq(1)));
    expect_that!(store.applied_transactions(), eq(1));
}

/// Guards against a doubtful outcome reported as accepted or refused, and
/// against an outcome that stays unknown when the platform is back.
#[googletest::test]
#[actix_web::test]
async fn an_outcome_that_cannot_be_learned_is_unproven() {
    let store = Rc::new(Memory::new());
    for _ in 0..5 {
        store.lose_request();
    }
    let client = client(store.clone());
    let Outcome::Unknown(edit) = client.submit(0, "{}", "ana", "first").await.unwrap() else {
        panic!("a lost edit cannot be proved");
    };
    expect_that!(
        client.resolve(&edit).await.unwrap(),
        eq(&Outcome::Unknown(edit.clone()))
    );
    client.submit(0, "[]", "berta", "second").await.unwrap();
    let Outcome::Conflict { version, edits } = client.resolve(&edit).await.unwrap() else {
        panic!("another edit has made the version");
    };
    expect_that!(version, eq(1));
    expect_that!(&*edits[0].author, eq("berta"));
}

/// Guards against a loser that is not told who changed what.
#[googletest::test]
#[actix_web::test]
async fn a_conflict_names_the_edits_since_the_base() {
    let client = client(Rc::new(Memory::new()));
    for (base, author) in ["ana", "berta", "carla"].into_iter().enumerate() {
        let text = format!("[{base}]");
        client
            .submit(base as u64, &text, author, "change")
            .await
            .unwrap();
    }
    let late = client.submit(1, "[9]", "dora", "late").await.unwrap();
    let Outcome::Conflict { version, edits } = late else {
        panic!("the head has moved on");
    };
    expect_that!(version, eq(3));
    let authors: Vec<_> = edits.iter().map(|edit| edit.author.to_string()).collect();
    expect_that!(authors, elements_are![eq("berta"), eq("carla")]);
    let newest = client.history(2).await.unwrap();
    expect_that!(
        newest.iter().map(|edit| edit.version).collect::<Vec<_>>(),
        eq(&vec![2, 3])
    );
}

/// Guards against errors on a store that is down being taken for conflicts.
#[googletest::test]
#[actix_web::test]
async fn an_outage_before_the_write_is_an_error() {
    let store = Rc::new(Memory::new());
    store.set_down(true);
    let error = client(store).submit(0, "{}", "ana", "x").await.unwrap_err();
    expect_that!(error.current_context().kind(), eq(Kind::Unavailable));
}

/// Editors that race: each edits from the head that it last saw.
async fn race(faults: Vec<u8>) {
    let store = Rc::new(Memory::new());
    for fault in faults {
        match fault {
            0 => store.lose_request(),
            1 => store.lose_response(),
            _ => store.exceed_rate_limit(),
        }
    }
    let client = client(store);
    let accepted = Rc::new(RefCell::new(HashMap::new()));
    let editors = (0..4).map(|editor| {
        let (client, accepted) = (client.clone(), Rc::clone(&accepted));
        async move {
            for n in 0..3 {
                let base = client.head().await.unwrap().map_or(0, |head| head.version);
                let text = format!("[{editor},{n}]");
                let author = format!("editor-{editor}");
                match client.submit(base, &text, &author, "race").await {
                    Ok(Outcome::Accepted { version, hash }) => {
                        let other = accepted.borrow_mut().insert(version, hash);
                        assert_eq!(other, None, "version {version} was accepted twice");
                    }
                    Ok(Outcome::Conflict { version, edits }) => {
                        assert!(version > base && !edits.is_empty());
                    }
                    Ok(Outcome::Unknown(edit)) => {
                        let found = client.resolve(&edit).await.unwrap();
                        assert!(
                            !matches!(found, Outcome::Accepted { .. }),
                            "readable at once"
                        );
                    }
                    Err(error) => assert_eq!(error.current_context().kind(), Kind::RateLimited),
                }
            }
        }
    });
    futures_util::future::join_all(editors).await;
    let history = client.history(100).await.unwrap();
    let versions: Vec<u64> = history.iter().map(|edit| edit.version).collect();
    let count = u64::try_from(accepted.borrow().len()).unwrap();
    assert_eq!(versions, (1..=count).collect::<Vec<_>>());
    for edit in history {
        assert_eq!(accepted.borrow()[&edit.version], edit.hash);
        client.document(&edit.hash).await.unwrap();
    }
}

/// Guards against lost, doubled or wrongly reported edits when operators race
/// on a platform that loses requests and answers.
#[test]
fn racing_editors_agree_with_the_history() {
    let config = proptest::test_runner::Config {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    };
    let faults = proptest::collection::vec(any::<u8>().prop_map(|n| n % 3), 0..20);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    runner
        .run(&faults, |faults| {
            actix_web::rt::System::new().block_on(race(faults));
            Ok(())
        })
        .unwrap();
}

/// One canned response, and what was asked.
type Script = web::Data<(u16, &'static str, std::sync::Mutex<Vec<String>>)>;

async fn canned(request: HttpRequest, body: web::Bytes, script: Script) -> HttpResponse {
    let body = String::from_utf8_lossy(&body);
    let line = format!("{} {} {body}", request.method(), request.uri());
    script.2.lock().unwrap().push(line);
    HttpResponse::build(script.0.try_into().unwrap()).body(script.1)
}

/// Runs `call` against a server that always gives the same response.
async fn against<T>(
    status: u16,
    body: &'static str,
    call: impl AsyncFnOnce(Http) -> T,
) -> (T, Vec<String>) {
    let script = web::Data::new((status, body, std::sync::Mutex::new(Vec::new())));
    let data = script.clone();
    let app = move || {
        App::new()
            .app_data(data.clone())
            .default_service(web::to(canned))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .bind("127.0.0.1:0")
        .unwrap();
    let base = format!("http://{}", server.addrs()[0]);
    let server = server.run();
    let handle = server.handle();
    actix_web::rt::spawn(server);
    let result = call(Http::new(&base, platform::Limits::default())).await;
    handle.stop(false).await;
    let asked = script.2.lock().unwrap().clone();
    (result, asked)
}

/// Guards against a client that differs from `docs/platform.md`.
#[googletest::test]
#[actix_web::test]
async fn calls_have_the_documented_form() {
    let conditions = [Condition::equals("a", "1"), Condition::absent("b")];
    let writes = [Write::put("a", "2"), Write::delete("b")];
    let (result, asked) = against(200, r#"{"applied": true}"#, async |http| {
        http.transact(&conditions, &writes).await
    })
    .await;
    expect_that!(result, ok(anything()));
    expect_that!(
        asked[0],
        eq(concat!(
            "POST /v1/table/transact ",
            r#"{"conditions":[{"key":"a","equals":"1"},{"key":"b","absent":true}],"#,
            r#""writes":[{"key":"a","value":"2"},{"key":"b","delete":true}]}"#
        ))
    );
    let body = r#"{"applied": false, "current": [{"key": "a", "value": null}]}"#;
    let (result, _) = against(409, body, async |http| {
        http.transact(&conditions, &writes).await
    })
    .await;
    let error = result.unwrap_err();
    expect_that!(error.current_context().kind(), eq(Kind::Conflict));
    expect_that!(error.current_context().current()[0].value, none());

    let (result, asked) = against(200, r#"{"key": "a&b", "value": "1"}"#, async |http| {
        http.row("a&b").await
    })
    .await;
    expect_that!(result.unwrap().as_deref(), some(eq("1")));
    expect_that!(asked[0], eq("GET /v1/table/row?key=a%26b "));

    let (result, asked) = against(
        200,
        r#"{"rows": [{"key": "p1", "value": "x"}]}"#,
        async |http| http.rows("p", "p0", 7).await,
    )
    .await;
    expect_that!(result.unwrap()[0].value, eq("x"));
    expect_that!(
        asked[0],
        eq("GET /v1/table/rows?prefix=p&after=p0&limit=7 ")
    );

    let (result, asked) = against(204, "", async |http| {
        http.put_object("config/x", "t".into()).await
    })
    .await;
    expect_that!(result, ok(anything()));
    expect_that!(asked[0], eq("PUT /v1/objects/config/x t"));
    let (result, asked) = against(404, "", async |http| http.get_object("config/../a").await).await;
    expect_that!(
        result.unwrap_err().current_context().kind(),
        eq(Kind::Invalid)
    );
    expect_that!(asked, is_empty());

    let body =
        r#"{"hosts": [{"name": "entry-1", "address": "127.0.0.1:8101", "state": "leaving"}]}"#;
    let (result, _) = against(200, body, async |http| http.hosts().await).await;
    expect_that!(result.unwrap()[0].state, eq(platform::HostState::Leaving));
}

/// Guards against errors of the platform being taken for answers.
#[googletest::test]
#[actix_web::test]
async fn statuses_have_their_kinds() {
    let cases = [
        (429, "", Kind::RateLimited),
        (503, "", Kind::Unavailable),
        (400, "", Kind::Invalid),
        (200, "truncat", Kind::Unavailable),
    ];
    for (status, body, kind) in cases {
        let (result, _) = against(status, body, async |http| http.row("a").await).await;
        expect_that!(result.unwrap_err().current_context().kind(), eq(kind));
    }
    // Nothing listens on port 1 of the loopback address.
    let http = Http::new("http://127.0.0.1:1", platform::Limits::default());
    let error = http.hosts().await.unwrap_err();
    expect_that!(error.current_context().kind(), eq(Kind::Unavailable));
}
