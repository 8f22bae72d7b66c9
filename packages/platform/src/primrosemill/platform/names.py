"""Names of the platform's interfaces, as its pages spell them."""

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

# Words of an instance entry.
SERVING = "ready"
LEAVING = "draining"

# Kinds of route.
IDEMPOTENT = "idempotent"
NOT_IDEMPOTENT = "non_idempotent"
# Not idempotent either, with large bodies.
UPLOAD = "upload"
