# The load capture of a router. Where its program is built with the feature `capture`, VETCHKEEL_CAPTURE names this file.
# Not for the platform: it needs a disk that lasts.
capture {
  # {name} becomes the router's name.
  file = "/var/lib/vetchkeel/load-{name}.vkl"

  # Commands a frame, and frames that may wait for the disk. What does not fit is dropped and counted; no command waits.
  frame   = 2048
  waiting = 8
}
