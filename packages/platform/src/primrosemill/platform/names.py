"""Defines the names of the platform's interfaces as it documents them."""

# The platform's times are in milliseconds.
MILLISECONDS_PER_SECOND = 1_000.0

# Keys and key prefixes of the store.
INSTANCE_PREFIX = "servers/"
ROUTING_KEY = "op/config"
ALL_KEYS_PREFIX = ""

# Paths of the store.
READ_PATH = "/-/kv-range"
WATCH_PATH = "/-/kv-watch"

# Endpoints of an entry VM.
READINESS_PATH = "/-/readiness"
DIRECTORY_PATH = "/-/resolve"

# Headers, in lower case.
REQUEST_ID = b"primrosemill-request-id"
# Milliseconds for which the caller still waits, not a point in time.
TIME_LEFT = b"primrosemill-request-deadline"
EXPECTED_INSTANCE = b"primrosemill-expect-instance"
# The customer's name, which the VM sets in each request to an instance.
CUSTOMER_NAME = b"primrosemill-tenant-id"
# The scheme of the credentials that hold a customer's key.
KEY_SCHEME = b"token"
NOT_RUN = b"primrosemill-not-executed"
LOAD = b"primrosemill-instance-load"
# In all answers of the store: rises when it is restored from a copy.
EPOCH = b"store-era"
# Requests per second that the instance accepts from all VMs together.
LIMIT = b"server-limit"
# In every answer of an instance that is leaving.
LEAVING_HEADER = b"server-leaving"
LEAVING_VALUE = b"1"

# The state of a leaving instance in its entry.
DRAINING_STATE = "draining"

# Route types.
IDEMPOTENT_ROUTE = "idempotent"
ONCE_ROUTE = "non_idempotent"
# Not idempotent, and with large bodies.
UPLOAD_ROUTE = "upload"
# Idempotent, and with large answers.
DOWNLOAD_ROUTE = "download"
ROUTE_TYPES = frozenset(
    {IDEMPOTENT_ROUTE, ONCE_ROUTE, UPLOAD_ROUTE, DOWNLOAD_ROUTE}
)
