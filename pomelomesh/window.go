package pomelomesh

// flowControlWindow is how much a peer may send ahead of what is read here. A fixed one also keeps the transport from pinging the far
// end after every frame to learn the link's delay, which would be seen as twice the bytes and wake-ups of every message.
const flowControlWindow = 1 << 20
