use crate::prelude::*;

/// What a worker is told to run: any JSON, carried unread.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Payload(pub serde_json::Value);

impl Payload {
    /// Whether nothing is stated.
    pub fn is_null(&self) -> bool {
        self.0.is_null()
    }
}

impl<C> Encode<C> for Payload {
    fn encode<W: minicbor::encode::Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), minicbor::encode::Error<W::Error>> {
        e.str(&self.0.to_string())?.ok()
    }
}

impl<'b, C> Decode<'b, C> for Payload {
    fn decode(d: &mut Decoder<'b>, _: &mut C) -> Result<Self, minicbor::decode::Error> {
        let s = d.str()?;
        serde_json::from_str(s).map(Payload).map_err(minicbor::decode::Error::custom)
    }
}
