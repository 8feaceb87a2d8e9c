//! Generated from `schema/text.schema.json` by `cargo run -p dotterelhinge-codegen`; do not edit.

///Parameters of a request class.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Class {
    ///Maximum number of attempts, the first one included.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 3>")]
    pub attempts: ::std::num::NonZeroU32,
    ///Responses of a repeatable class up to this many bytes are buffered until complete.
    #[serde(default = "defaults::default_u64::<u32, 65536>")]
    pub buffer_bytes: u32,
    ///Time from arrival until the caller gives up, in milliseconds; at least the cost of a probe (25 ms).
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub deadline_ms: u64,
    ///Cost of each second that a failing upstream keeps receiving requests, in the same unit.
    #[serde(default = "defaults::class_detection_second_cost")]
    pub detection_second_cost: f64,
    ///Cost of ejecting a healthy upstream, in the operators' own unit.
    #[serde(default = "defaults::class_false_ejection_cost")]
    pub false_ejection_cost: f64,
    ///Unique name.
    pub name: ::std::string::String,
    ///Queue priority; lower goes first.
    #[serde(default = "defaults::default_u64::<u8, 1>")]
    pub priority: u8,
    ///Maximum time without progress on an attempt, in milliseconds.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 5000>")]
    pub progress_timeout_ms: ::std::num::NonZeroU64,
    ///Maximum wait for a slot, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub queue_ms: u64,
    ///Whether a request may run more than once.
    pub repeatable: bool,
    ///Maximum number of bytes of a request body retained for a retry.
    #[serde(default = "defaults::default_u64::<u32, 262144>")]
    pub replay_bytes: u32,
    ///Whether request bodies are large and are streamed.
    #[serde(default)]
    pub upload: bool,
    ///Handling of a keyed request while no lease on its key range can be proved: refuse it as not run, or run it once.
    #[serde(default = "defaults::class_when_unfenced")]
    pub when_unfenced: ClassWhenUnfenced,
}
///Handling of a keyed request while no lease on its key range can be proved: refuse it as not run, or run it once.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ClassWhenUnfenced {
    #[serde(rename = "refuse")]
    Refuse,
    #[serde(rename = "run")]
    Run,
}
impl ::std::fmt::Display for ClassWhenUnfenced {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Refuse => f.write_str("refuse"),
            Self::Run => f.write_str("run"),
        }
    }
}
impl ::std::str::FromStr for ClassWhenUnfenced {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "refuse" => Ok(Self::Refuse),
            "run" => Ok(Self::Run),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClassWhenUnfenced {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClassWhenUnfenced {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for ClassWhenUnfenced {
    fn default() -> Self {
        ClassWhenUnfenced::Refuse
    }
}
///A customer, to whom requests are attributed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    ///Unique name, the value of the customer header.
    pub name: ::std::string::String,
    ///Share of a service's slots that the customer may use while others wait; above 0, at most 1.
    pub slot_share: f64,
}
///Sends matching requests to a service in a class. A route with a host precedes one without, then the longest path prefix wins, then a route with the method precedes one without methods.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Route {
    ///Name of the class.
    pub class: ::std::string::String,
    ///Host name in lower case, without port; null for any host.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub host: ::std::option::Option<::std::string::String>,
    ///Request methods in upper case; none for any method.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub methods: ::std::vec::Vec<::std::string::String>,
    ///Path prefix, matched on segment boundaries; starts with / and does not end with / unless it is just /.
    pub path_prefix: ::std::string::String,
    ///Name of the service.
    pub service: ::std::string::String,
}
///A service and its backend servers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Service {
    ///Time from readmission or start to full slots, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub cold_start_ms: u64,
    ///Names of the services that this one calls; no cycles.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub depends_on: ::std::vec::Vec<::std::string::String>,
    ///Response header by which upstreams report that they are leaving; null if they do not.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub drain_header: ::std::option::Option<::std::string::String>,
    ///Response header in which upstreams echo the request id; null if they do not.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub echo_header: ::std::option::Option<::std::string::String>,
    ///Number of healthy upstreams that ejection must leave; at most the number of upstreams.
    pub floor: u32,
    ///Unique name.
    pub name: ::std::string::String,
    ///Response header by which upstreams report that a request was not run; null if they do not.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub not_run_header: ::std::option::Option<::std::string::String>,
    ///The backend servers.
    pub upstreams: ::std::vec::Vec<Upstream>,
}
///The operators' configuration: the services of a fleet, their upstreams and the routes to them.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Text {
    ///Availability zones of the platform.
    pub availability_zones: ::std::vec::Vec<Zone>,
    ///Request classes.
    pub classes: ::std::vec::Vec<Class>,
    ///Name of the request header that names the customer; null attributes no request to a customer.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub customer_header: ::std::option::Option<::std::string::String>,
    ///Customers with a share of slots other than 1.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub customers: ::std::vec::Vec<Customer>,
    ///Which requests go to which service, and in which class.
    pub routes: ::std::vec::Vec<Route>,
    ///Services and their upstreams.
    pub services: ::std::vec::Vec<Service>,
}
///A backend server of a service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    ///IP address and port, as in 10.0.0.1:8080, with brackets around an IPv6 address; unique within the document.
    pub address: ::std::string::String,
    ///Name of the availability zone that the server is in.
    pub availability_zone: ::std::string::String,
    ///Maximum number of connections that the server accepts.
    pub connections: ::std::num::NonZeroU32,
    ///Whether the server is being taken out of service and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
    ///Name, unique within the service.
    pub name: ::std::string::String,
    ///Maximum number of requests that the server runs at the same time.
    pub slots: ::std::num::NonZeroU32,
}
///An availability zone.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    ///Unique name.
    pub name: ::std::string::String,
    ///Region that the availability zone is in.
    pub region: ::std::string::String,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn class_detection_second_cost() -> f64 {
        1.0_f64
    }
    pub(super) fn class_false_ejection_cost() -> f64 {
        10.0_f64
    }
    pub(super) fn class_when_unfenced() -> super::ClassWhenUnfenced {
        super::ClassWhenUnfenced::Refuse
    }
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
