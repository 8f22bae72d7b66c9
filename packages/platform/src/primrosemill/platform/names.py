"""Names of the platform's interfaces, as its pages spell them."""

# Parts of a second in which the platform counts.
MILLISECONDS = 1_000.0

# Keys of the store.
INSTANCES = "servers/"
ROUTING = "op/config"
EVERYTHING = ""

# Calls of the store.
READ_PATH = "/-/kv-range"
WATCH_PATH = "/-/kv-watch"

# Endpoints of an entry VM.
READINESS_PATH = "/-/readiness"
DIRECTORY_PATH = "/-/resolve"

# Headers, in lower case.
REQUEST_ID = b"primrosemill-request-id"
# Milliseconds that the caller still waits, not a point in time.
TIME_LEFT = b"primrosemill-request-deadline"
EXPECTED_INSTANCE = b"primrosemill-expect-instance"
NOT_RUN = b"primrosemill-not-executed"
LOAD = b"primrosemill-instance-load"
# In all answers of the store: counts its returns from a copy.
EPOCH = b"store-era"
# In any answer of an instance that is leaving.
LEAVING_SIGN = b"server-leaving"
LEAVING_VALUE = b"1"

# The word of an instance entry for an instance that is leaving.
LEAVING = "draining"

# Kinds of route.
IDEMPOTENT = "idempotent"
# Not idempotent, with large bodies.
UPLOAD = "upload"
