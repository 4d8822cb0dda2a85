//! Encoding of the table register with postcard: the order of fields and variants is the stored form.

use crate::register::{check_successor, InvalidRegister, ProposedTable, Register, Stage, MAX_REGISTER_BYTES};
use crate::steps::portions;
use crate::table::Table;
use basaltgw_types::RouterId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Encoded form of [`Register`].
#[derive(Serialize, Deserialize)]
struct EncodedRegister {
    term: u64,
    epoch: u64,
    table: Vec<u8>,
    proposed: Option<EncodedProposal>,
}

#[derive(Serialize, Deserialize)]
struct EncodedProposal {
    table: Vec<u8>,
    proposer: RouterId,
    stage: EncodedStage,
}

#[derive(Serialize, Deserialize)]
enum EncodedStage {
    Proposed,
    Durable,
    Joint { step: u16, withdrawing: bool },
}

impl Register {
    /// Decodes and checks a content.
    ///
    /// # Errors
    /// If there are too many bytes, they can't be decoded, a table is invalid, or the parts contradict each other.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, InvalidRegister> {
        if bytes.len() > MAX_REGISTER_BYTES {
            return Err(InvalidRegister::TooLong { bytes: bytes.len() });
        }
        let encoded: EncodedRegister = postcard::from_bytes(bytes)?;
        let expect = |ok: bool, expected| match ok {
            true => Ok(()),
            false => Err(InvalidRegister::Inconsistent { expected }),
        };
        expect(
            encoded.epoch > 0 && encoded.term >= encoded.epoch,
            "an epoch above 0 and a term that is not below it",
        )?;
        let table = Table::from_bytes(&encoded.table)?;
        let (proposed, stage) = match encoded.proposed {
            None => (None, Stage::Idle),
            Some(EncodedProposal { table: bytes, proposer, stage }) => {
                expect(basaltgw_types::parse_name(&proposer.0).is_ok(), "a valid name of the proposer")?;
                let next = Table::from_bytes(&bytes)?;
                expect(
                    check_successor(&table, &next).is_ok(),
                    "a proposed table that succeeds the one in effect",
                )?;
                let steps = portions(&table, &next).len() as u16;
                let proposed = ProposedTable { steps, table: Arc::new(next), proposer };
                let stage = match stage {
                    EncodedStage::Proposed => Stage::Proposed,
                    EncodedStage::Durable => Stage::Durable,
                    EncodedStage::Joint { step, withdrawing } => Stage::Joint { step, withdrawing },
                };
                if let Stage::Joint { step, .. } = stage {
                    expect(step < proposed.steps, "a step below the number of steps")?;
                }
                (Some(proposed), stage)
            }
        };
        Ok(Self { term: encoded.term, epoch: encoded.epoch, table: Arc::new(table), proposed, stage })
    }

    /// Encodes the content.
    ///
    /// # Errors
    /// If postcard fails, which is not known to happen for these types.
    pub fn to_bytes(&self) -> Result<Vec<u8>, InvalidRegister> {
        let stage = match self.stage {
            Stage::Idle | Stage::Proposed => EncodedStage::Proposed,
            Stage::Durable => EncodedStage::Durable,
            Stage::Joint { step, withdrawing } => EncodedStage::Joint { step, withdrawing },
        };
        let proposed = self.proposed.as_ref().map(|p| EncodedProposal {
            table: p.table.bytes().to_vec(),
            proposer: p.proposer.clone(),
            stage,
        });
        let table = self.table.bytes().to_vec();
        Ok(postcard::to_stdvec(&EncodedRegister { term: self.term, epoch: self.epoch, table, proposed })?)
    }
}
