//! Feeds of the store: following them, caching them for other fronts, and this front's
//! own registration.

pub mod counted_source;
pub mod feed;
pub mod feed_cache;
pub mod known_fronts;
pub mod membership;
pub mod newer_configuration;
pub mod registration;
