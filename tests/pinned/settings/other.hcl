shares = "on"
defragmentation {
}
log {
  format = "text"
}
