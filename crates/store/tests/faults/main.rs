//! The store on disks that fail, and against a model.

mod crash;
mod damage;
mod model;
mod properties;
