auction_cap = 101
headroom_h0 = 0.125
headroom_kappa = 0.25
slot_cpus = 2.5
owned_price = 0.5
spot_mean_life_s = 901.5
idle_return_s = 241.5
deserted_return_s = 26.5
fleet_max = 77
leader_ttl_ms = 30001
shares = "off"
defragmentation {
  enabled = true
  most_moves = 17
  lost_work_s = 31.5
  again_after_s = 301.5
  away_share = 0.375
  worth_s = 61.5
}
class "porting" {
  protected = true
}
class "bake" {
  movable = false
  protected = false
}
class "web" {
  movable = true
}
operators {
  key = "sixteen-or-more-characters"
}
log {
  time = true
  format = "json"
}
