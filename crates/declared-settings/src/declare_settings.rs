//! The one macro that declares settings.

/// Declares a struct of settings: each with its help (the doc comment), name,
/// type, default (as JSON), and if wanted its check (a
/// [`SettingCheck`](crate::prelude::SettingCheck)) and its unit.
///
/// ```
/// use declared_settings::prelude::*;
///
/// declare_settings! {
///     /// Where a process listens.
///     pub struct ListenSettings {
///         /// The address to listen on.
///         listen: SocketAddr = "127.0.0.1:7000", unit "ip:port";
///         /// How many requests may wait.
///         inbox: u64 = 64, check(Integers(1, 4096)), unit "requests";
///         /// Names of the peers.
///         peers: Vec<String> = [];
///     }
/// }
///
/// let settings = ListenSettings::from_json(&json!({"inbox": 8})).unwrap();
/// assert_eq!((settings.inbox, settings.listen.port()), (8, 7000));
///
/// let faults = ListenSettings::from_json(&json!({"inbox": 0, "lisden": 1})).unwrap_err();
/// assert_eq!(
///     faults.to_string(),
///     "inbox: 0 is outside of 1 to 4096\n\
///      lisden: no setting has this name; is \"listen\" meant?"
/// );
/// ```
#[macro_export]
macro_rules! declare_settings {
    (
        $(#[doc = $about:literal])*
        pub struct $set:ident {
            $(
                $(#[doc = $help:literal])+
                $name:ident : $type:ty = $default:tt
                $(, check($($check:tt)+))?
                $(, unit $unit:literal)?
                ;
            )+
        }
    ) => {
        $(#[doc = $about])*
        #[derive(Debug, Clone, PartialEq)]
        pub struct $set {
            $( $(#[doc = $help])+ pub $name: $type, )+
        }

        impl ::core::default::Default for $set {
            fn default() -> Self {
                Self {
                    $( $name: <$type as $crate::prelude::SettingType>::from_json(
                        &$crate::prelude::json!($default)
                    ).unwrap_or_else(|problem| {
                        panic!("the declared default of {}: {}", stringify!($name), problem)
                    }), )+
                }
            }
        }

        impl $crate::prelude::DeclaredSettings for $set {
            const NAMES: &'static [&'static str] = &[$(stringify!($name)),+];

            fn about() -> ::std::string::String {
                [$($about),*].map(str::trim).join(" ")
            }

            fn describe() -> ::std::vec::Vec<$crate::prelude::SettingDescription> {
                vec![$($crate::prelude::SettingDescription {
                    name: stringify!($name),
                    type_name: <$type as $crate::prelude::SettingType>::type_name(),
                    default: $crate::prelude::json!($default),
                    check: $crate::declare_settings!(@check $($($check)+)?).to_string(),
                    unit: concat!("" $(, $unit)?),
                    help: [$($help),+].map(str::trim).join(" "),
                    many: <$type as $crate::prelude::SettingType>::MANY,
                }),+]
            }

            fn set(
                &mut self,
                name: &str,
                value: &$crate::prelude::Value,
            ) -> ::core::result::Result<(), $crate::prelude::SettingProblem> {
                match name {
                    $( stringify!($name) => {
                        let read = <$type as $crate::prelude::SettingType>::from_json(value)?;
                        $crate::declare_settings!(@check $($($check)+)?)
                            .test(&$crate::prelude::SettingType::to_json(&read))?;
                        self.$name = read;
                        Ok(())
                    } )+
                    _ => Err($crate::prelude::SettingProblem::unknown_setting(name, Self::NAMES)),
                }
            }

            fn get(&self, name: &str) -> ::core::option::Option<$crate::prelude::Value> {
                match name {
                    $( stringify!($name) => {
                        Some($crate::prelude::SettingType::to_json(&self.$name))
                    } )+
                    _ => None,
                }
            }

            fn words_to_json(
                name: &str,
                words: &[::std::string::String],
            ) -> ::core::result::Result<$crate::prelude::Value, $crate::prelude::SettingProblem> {
                match name {
                    $( stringify!($name) => {
                        <$type as $crate::prelude::SettingType>::words_to_json(words)
                    } )+
                    _ => Err($crate::prelude::SettingProblem::unknown_setting(name, Self::NAMES)),
                }
            }
        }

        impl $crate::prelude::Serialize for $set {
            fn serialize<S: $crate::prelude::Serializer>(
                &self,
                serializer: S,
            ) -> ::core::result::Result<S::Ok, S::Error> {
                $crate::prelude::Serialize::serialize(
                    &$crate::prelude::DeclaredSettings::to_json(self),
                    serializer,
                )
            }
        }
    };
    (@check) => { $crate::prelude::SettingCheck::Any };
    (@check $($check:tt)+) => { $crate::prelude::SettingCheck::$($check)+ };
}
