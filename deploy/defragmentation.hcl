# Operators' settings that switch on what is new: copy beside the platform's file (the
# same name, ending in .hcl), or name it with --tuning. See docs/defragmentation.md.

# Work that may move is moved off machines that whole-machine tasks wait for.
defragmentation {
  enabled       = true
  most_moves    = 16   # under way at once
  lost_work_s   = 30   # what does not save is moved only while it would lose less
  again_after_s = 300  # before the same task is moved again
  away_share    = 0.1  # of a job's tasks that may be away for moves, one at least
  worth_s       = 60   # seconds of waiting that a freed place is taken to spare
}

# What must never be moved, and is asked about before a drain disturbs it. Services of
# rank production are so anyway.
# class "settlement" {
#   protected = true
# }

# Commands for operators (copperfield nodes, drain, undrain, moves) need a key of their own.
# operators {
#   key = "choose 16 or more characters"
# }
