//! Cold servers, and descriptors that are all taken.
