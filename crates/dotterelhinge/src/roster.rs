//! Thin stand-in for membership and configuration until their actors land.

use std::{rc::Rc, sync::Arc, time::Duration};

use crate::{context, members, peer, platform, text};

/// Polls the platform for the text and the seeds for their identity.
pub(crate) async fn run(context: Arc<context::Context>) {
    let client = peer::Client::new(Arc::clone(&context));
    let platform = context.settings.platform.as_ref().map(|base| {
        platform::Client::new(
            Rc::new(platform::Http::new(base, platform::Limits::default())),
            Arc::clone(&context.clock),
            platform::Settings::default(),
        )
    });
    loop {
        if let Some(platform) = &platform
            && let Ok(Some(head)) = platform.head().await
            && context
                .in_force
                .load()
                .as_ref()
                .is_none_or(|f| f.version < head.version)
            && let Ok(document) = platform.text(&head.hash).await
            && let Ok(text) = text::Text::parse(document.as_bytes())
        {
            log::info!(event = "configuration", version = head.version, hash = &**text.hash(); "text in force");
            context.in_force.store(Some(Arc::new(context::InForce {
                version: head.version,
                snapshot: Arc::clone(text.snapshot()),
                text,
            })));
        }
        let mut found = vec![members::Member {
            host: Arc::clone(&context.settings.host),
            address: context.settings.peer,
            availability_zone: Arc::clone(&context.settings.availability_zone),
            region: Arc::clone(&context.settings.region),
        }];
        for seed in &context.settings.seeds {
            let identity: Result<(Arc<str>, Arc<str>, Arc<str>), _> = client
                .post(*seed, "/peer/v1/identity", &(), Duration::from_millis(200))
                .await;
            if let Ok((host, availability_zone, region)) = identity
                && host != context.settings.host
            {
                found.push(members::Member {
                    host,
                    address: *seed,
                    availability_zone,
                    region,
                });
            }
        }
        let list = members::List::new(found);
        if list.members() != context.members.load().members() {
            context.members.store(Arc::new(list));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
