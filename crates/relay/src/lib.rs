//! A relay of bytes between real processes, with faults.
//!
//! Need: links between real processes that are slow, cut one way, silent, reset or broken in mid-message, without
//! rights that a test does not have. Shape: a listener on a loopback address for each link, which passes bytes on to
//! one target, each way on its own, under a state that may be changed at any moment and then holds for
//! connections that are open as well as for new ones.
//!
//! Rejected: rules in the kernel, which need rights and are shared with all else on the machine; and links inside the
//! lab that act on whole messages, which cannot break one in its middle nor accept what is then lost.
