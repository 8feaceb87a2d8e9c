//! Generated from `schema/settings.schema.json` by `cargo run -p dotterelhinge-codegen`; do not edit.

///Settings of one daemon process.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    ///IP address and port for operators and the load balancer.
    pub admin: ::std::string::String,
    ///Availability zone of the host.
    pub availability_zone: ::std::string::String,
    ///Name of the machine that runs the process, unique in the fleet.
    pub host: ::std::string::String,
    ///Maximum number of idempotency records that a process stores.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 60000>")]
    pub keys_per_owner: ::std::num::NonZeroU32,
    ///IP address and port for callers.
    pub listen: ::std::string::String,
    ///Least severe level that is logged.
    #[serde(default = "defaults::settings_log_level")]
    pub log_level: SettingsLogLevel,
    ///Maximum size of a request body, in bytes.
    #[serde(default = "defaults::default_u64::<u64, 268435456>")]
    pub max_body_bytes: u64,
    ///Maximum size of a request head, in bytes.
    #[serde(default = "defaults::default_u64::<u32, 32768>")]
    pub max_header_bytes: u32,
    ///IP address and UDP port that receives StatsD metrics; null to send none.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub metrics: ::std::option::Option<::std::string::String>,
    ///IP address and port for other daemons.
    pub peer: ::std::string::String,
    ///Base URL of the platform, http scheme; null to run without one.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub platform: ::std::option::Option<::std::string::String>,
    ///Placement and ejection: fleet uses a coordinator per service; baseline decides in each daemon independently and serves as a comparison.
    #[serde(default = "defaults::settings_policy")]
    pub policy: SettingsPolicy,
    ///Region of the host.
    pub region: ::std::string::String,
    ///Share of requests written to the log, 0 to 1.
    #[serde(default = "defaults::settings_request_log_share")]
    pub request_log_share: f64,
    ///Peer addresses of daemons to join at start.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub seeds: ::std::vec::Vec<::std::string::String>,
    ///Maximum time that a planned shutdown waits for requests in flight, in milliseconds; null for no limit.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stop_limit_ms: ::std::option::Option<u64>,
    ///Time between turning not ready and closing the listener at a planned shutdown, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub stop_notice_ms: u64,
    ///Worker threads of the request path.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1>")]
    pub workers: ::std::num::NonZeroU32,
}
///Least severe level that is logged.
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
pub enum SettingsLogLevel {
    #[serde(rename = "off")]
    Off,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warn")]
    Warn,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
    #[serde(rename = "trace")]
    Trace,
}
impl ::std::fmt::Display for SettingsLogLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Off => f.write_str("off"),
            Self::Error => f.write_str("error"),
            Self::Warn => f.write_str("warn"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
            Self::Trace => f.write_str("trace"),
        }
    }
}
impl ::std::str::FromStr for SettingsLogLevel {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "off" => Ok(Self::Off),
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for SettingsLogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SettingsLogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for SettingsLogLevel {
    fn default() -> Self {
        SettingsLogLevel::Info
    }
}
///Placement and ejection: fleet uses a coordinator per service; baseline decides in each daemon independently and serves as a comparison.
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
pub enum SettingsPolicy {
    #[serde(rename = "fleet")]
    Fleet,
    #[serde(rename = "baseline")]
    Baseline,
}
impl ::std::fmt::Display for SettingsPolicy {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Fleet => f.write_str("fleet"),
            Self::Baseline => f.write_str("baseline"),
        }
    }
}
impl ::std::str::FromStr for SettingsPolicy {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "fleet" => Ok(Self::Fleet),
            "baseline" => Ok(Self::Baseline),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for SettingsPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SettingsPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for SettingsPolicy {
    fn default() -> Self {
        SettingsPolicy::Fleet
    }
}
/// Generation of default values for serde.
pub mod defaults {
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
    pub(super) fn settings_log_level() -> super::SettingsLogLevel {
        super::SettingsLogLevel::Info
    }
    pub(super) fn settings_policy() -> super::SettingsPolicy {
        super::SettingsPolicy::Fleet
    }
    pub(super) fn settings_request_log_share() -> f64 {
        0.0_f64
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
