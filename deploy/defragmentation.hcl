# Operators' settings that enable defragmentation. Copy this file next to the platform's settings
# file, under the same name with the extension .hcl, or pass its path with --tuning. See
# docs/defragmentation.md.

# Frees whole workers for waiting whole-worker tasks by migrating tasks that may be migrated.
defragmentation {
  enabled       = true
  most_moves    = 16   # maximum number of concurrent migrations
  lost_work_s   = 30   # a task without checkpoints is migrated only if it would lose less work
  again_after_s = 300  # minimum time between two migrations of the same task
  away_share    = 0.1  # maximum share of a job's tasks migrating at the same time; one always may
  worth_s       = 60   # maximum waiting time that freeing a worker is assumed to save
}

# Tasks of a protected class are never migrated, and a drain that would disturb them must be
# confirmed. Services of rank production are always protected.
# class "settlement" {
#   protected = true
# }

# The operators' commands (copperfield nodes, drain, undrain, moves) require this key.
# operators {
#   key = "choose 16 or more characters"
# }
