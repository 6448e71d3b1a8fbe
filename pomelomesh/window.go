package pomelomesh

// flowControlWindow is the HTTP/2 flow-control window, in bytes. A fixed window also disables gRPC's bandwidth
// estimation, whose ping after every frame doubles the bytes and wake-ups per message.
const flowControlWindow = 1 << 20
