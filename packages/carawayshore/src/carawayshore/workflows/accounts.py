"""Client accounts: keys, and which account a call belongs to.

Load pattern: every call of a caller carries a key, and each key is looked up, so the check is one
digest and one look-up. Keys are kept as digests, so that no log line or memory dump shows them.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.workflows.model import Deployment, QueueConfig

# Scheme of the Authorization header, compared without regard to case (RFC 9110, section 11.1).
KEY_SCHEME = "token"
DIGEST_BYTES = 16


class Caller(NamedTuple):
    """Result of the check of a call.

    Parameters
    ----------
    accepted : bool
        Whether the call may go on.
    account : str
        Account whose key the call carries, empty for none.
    """

    accepted: bool
    account: str = ""


def hash_key(key: str) -> bytes:
    """Returns the digest under which a key is kept."""
    return hashlib.blake2b(key.encode(errors="surrogateescape"), digest_size=DIGEST_BYTES).digest()


def identify_caller(deployment: Deployment, queue: QueueConfig, authorization: str) -> Caller:
    """Returns whether a call to a queue may go on, and its account.

    Parameters
    ----------
    deployment : Deployment
    queue : QueueConfig
    authorization : str
        Value of the ``Authorization`` header, empty for none. A value of another scheme carries no
        key.
    """
    if deployment.accounts is None:
        return Caller(True)
    scheme, _, key = authorization.strip().partition(" ")
    account = ""
    if scheme.lower() == KEY_SCHEME and key.strip():
        account = deployment.accounts_by_key.get(hash_key(key.strip()), "")
    return Caller(bool(account) or queue.public, account)
