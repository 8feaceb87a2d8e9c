//! Differences between documents as JSON Patch (RFC 6902).

use bytes::Bytes;
use error_stack::Report;
use json_patch::{AddOperation, Patch, PatchOperation, RemoveOperation, ReplaceOperation};
use serde_json::Value;

use super::{Document, Error, Kind, schema};

/// Returns a JSON Patch that turns `old` into `new`.
pub fn delta(old: &Document, new: &Document) -> Bytes {
    let patch = Patch(operations(&value(old), &value(new)));
    Bytes::from(serde_json::to_vec(&patch).expect("a patch is JSON"))
}

/// Returns the operations that turn `old` into `new`.
pub(crate) fn operations(old: &Value, new: &Value) -> Vec<PatchOperation> {
    let mut patch = Vec::new();
    compare(old, new, "", &mut patch);
    patch
}

/// Applies a JSON Patch and checks the hash of the result.
///
/// Fails with [`Kind::Delta`] if the patch does not apply, with
/// [`Kind::Invalid`] if the result breaks rules and with [`Kind::Hash`] if its
/// hash is not `hash`.
pub fn apply(old: &Document, delta: &[u8], hash: &str) -> Result<Document, Report<Error>> {
    let patch: Patch = serde_json::from_slice(delta)
        .map_err(|error| Error::with_detail(Kind::Delta, format_args!("patch: {error}")))?;
    let mut value = value(old);
    // `patch_unsafe` does not roll back on failure, but then the value is
    // dropped.
    json_patch::patch_unsafe(&mut value, &patch)
        .map_err(|error| Error::with_detail(Kind::Delta, error))?;
    let document = Document::from_value(value)?;
    if **document.hash() != *hash {
        return Err(Error::with_detail(
            Kind::Hash,
            format_args!("got {}, expected {hash}", document.hash()),
        ));
    }
    Ok(document)
}

fn value(document: &Document) -> Value {
    serde_json::from_slice(&document.canonical()).expect("canonical form is JSON")
}

/// Appends the operations for one value. `json_patch::diff` compares arrays by
/// position, so that one inserted route would replace all routes after it;
/// this function skips the common prefix and suffix of two arrays.
fn compare(old: &Value, new: &Value, path: &str, patch: &mut Vec<PatchOperation>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (name, value) in new {
                let path = schema::pointer(path, name);
                match old.get(name) {
                    Some(old) => compare(old, value, &path, patch),
                    None => patch.push(add(&path, value)),
                }
            }
            for name in old.keys().filter(|name| !new.contains_key(*name)) {
                patch.push(remove(&schema::pointer(path, name)));
            }
        }
        (Value::Array(old), Value::Array(new)) => compare_arrays(old, new, path, patch),
        _ if old == new => {}
        _ => patch.push(PatchOperation::Replace(ReplaceOperation {
            path: pointer(path),
            value: new.clone(),
        })),
    }
}

fn compare_arrays(old: &[Value], new: &[Value], path: &str, patch: &mut Vec<PatchOperation>) {
    let head = old.iter().zip(new).take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[head..], &new[head..]);
    let ends = old.iter().rev().zip(new.iter().rev());
    let tail = ends.take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[..old.len() - tail], &new[..new.len() - tail]);

    let both = old.len().min(new.len());
    for (position, (old, new)) in old.iter().zip(new).enumerate() {
        compare(old, new, &format!("{path}/{}", head + position), patch);
    }
    for _ in both..old.len() {
        patch.push(remove(&format!("{path}/{}", head + both)));
    }
    for (position, value) in new.iter().enumerate().skip(both) {
        patch.push(add(&format!("{path}/{}", head + position), value));
    }
}

fn pointer(path: &str) -> json_patch::jsonptr::PointerBuf {
    json_patch::jsonptr::PointerBuf::parse(path).expect("names are escaped")
}

fn add(path: &str, value: &Value) -> PatchOperation {
    PatchOperation::Add(AddOperation {
        path: pointer(path),
        value: value.clone(),
    })
}

fn remove(path: &str) -> PatchOperation {
    PatchOperation::Remove(RemoveOperation {
        path: pointer(path),
    })
}
