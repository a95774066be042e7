leader_ttl_ms = 1500
idle_return_s = 10
deserted_return_s = 10
class "web" {
  protected = true
}
operators {
  key = "sixteen-or-more-characters"
}
