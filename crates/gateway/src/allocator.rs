//! The memory allocator of the process.

/// Returns free memory to the system, where the allocator can do that.
pub(crate) fn trim() {
    #[cfg(target_env = "gnu")]
    {
        // SAFETY: the call has no preconditions and may be made by any thread.
        let _ = unsafe { nix::libc::malloc_trim(0) };
    }
}
