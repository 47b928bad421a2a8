//! The bundle in force on a node.

use super::{Bundle, Error, Revision, Signed, Trust};
use std::cmp::Ordering;
use std::sync::Arc;

/// A bundle that a node has put in force.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Version and digest of the bundle.
    pub revision: Revision,
    /// Text and signatures as received, to be sent to other nodes.
    pub signed: Arc<Signed>,
    /// The parsed bundle.
    pub bundle: Arc<Bundle>,
}

/// How an offered revision relates to the one in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// Its version is higher than the one in force, or no bundle is in force.
    Newer,
    /// It is in force already.
    Same,
    /// Its version is lower than the one in force.
    Older,
    /// It has the version in force but another digest.
    Conflict,
}

/// The bundle in force on a node; its version never decreases.
#[derive(Debug, Default)]
pub struct Active {
    accepted: Option<Accepted>,
    rejected: Option<(Option<Revision>, String)>,
}

impl Active {
    /// Returns the bundle in force.
    #[must_use]
    pub fn accepted(&self) -> Option<&Accepted> {
        self.accepted.as_ref()
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> Option<&Revision> {
        self.accepted.as_ref().map(|accepted| &accepted.revision)
    }

    /// Returns the last rejected revision, if it could be determined, and the
    /// reason; none if a bundle was put in force since.
    #[must_use]
    pub fn rejected(&self) -> Option<&(Option<Revision>, String)> {
        self.rejected.as_ref()
    }

    /// Compares an offered revision with the one in force.
    #[must_use]
    pub fn compare(&self, offered: &Revision) -> Comparison {
        compare(self.revision(), offered)
    }

    /// Puts a bundle in force if it is signed and newer than the one in force.
    ///
    /// # Errors
    ///
    /// [`Error`] if too few operators signed the text, it is not a valid bundle,
    /// or it conflicts with the one in force. The bundle in force stays, and the
    /// reason is kept for [`Self::rejected`].
    pub fn offer(&mut self, signed: Signed, trust: &Trust) -> Result<Comparison, Error> {
        match self.accept(signed, trust) {
            Ok(comparison) => Ok(comparison),
            Err((revision, error)) => {
                self.reject(revision, &error);
                Err(error)
            }
        }
    }

    /// Records the reason why a bundle was rejected.
    pub fn reject(&mut self, revision: Option<Revision>, error: &Error) {
        self.rejected = Some((revision, error.to_string()));
    }

    fn accept(
        &mut self,
        signed: Signed,
        trust: &Trust,
    ) -> Result<Comparison, (Option<Revision>, Error)> {
        let (revision, bundle) = signed.verify(trust).map_err(|error| (None, error))?;
        let comparison = self.compare(&revision);
        if let (Comparison::Conflict, Some(in_force)) = (comparison, self.revision()) {
            let error = Error::Conflict {
                in_force: in_force.clone(),
                offered: revision.clone(),
            };
            return Err((Some(revision), error));
        }
        if comparison == Comparison::Newer {
            self.rejected = None;
            self.accepted = Some(Accepted {
                revision,
                signed: Arc::new(signed),
                bundle: Arc::new(bundle),
            });
        }
        Ok(comparison)
    }
}

/// Compares an offered revision with the one in force, if there is one.
#[must_use]
pub fn compare(in_force: Option<&Revision>, offered: &Revision) -> Comparison {
    let Some(in_force) = in_force else {
        return Comparison::Newer;
    };
    match offered.version.cmp(&in_force.version) {
        Ordering::Greater => Comparison::Newer,
        Ordering::Less => Comparison::Older,
        Ordering::Equal if offered.digest == in_force.digest => Comparison::Same,
        Ordering::Equal => Comparison::Conflict,
    }
}
